/* Renders forms for a document from its JSON Schema.

   Each input edits the value at one path.  Changes are reported by callbacks:
   onValue (path, value) for a value, and onStructure (change) for one that
   replaces a list or adds or removes an item of it; unless change.keepForms is
   set, the caller renders the forms again after that. */

import { get, initialValue, join, labelOf, parentOf } from "./model.js";

const SECTION_ORDER = ["version", "site", "time_zone", "services",
  "batch_jobs", "watchers", "teams", "limits", "interference", "workers",
  "regions", "evacuated_zones"];
const MULTILINE_KEYS = new Set(["payload"]);

export function elementId(path) {
  return `field-${path}`;
}

function element(name, attributes = {}, ...children) {
  const node = document.createElement(name);
  for (const [key, value] of Object.entries(attributes))
    if (value !== undefined)
      node.setAttribute(key, value);
  node.append(...children);
  return node;
}

/* Convert the text of an input to a value of the type in SCHEMA. Text that is
   not of that type is kept as a string, so that the entry's check reports it
   as an issue. */
function parseValue(text, schema) {
  if (schema.type === "integer" && /^(0|[1-9]\d{0,15})$/.test(text))
    return Number(text);
  if (schema.type === "boolean")
    return text === "" ? undefined : text === "true";
  if (schema.type === "array")
    return text.split(",").map((part) => part.trim()).filter(Boolean);
  return text;
}

function formatValue(value) {
  return Array.isArray(value) ? value.join(", ") : String(value ?? "");
}

function allowedValues(schema) {
  if (schema.enum)
    return schema.enum;
  return schema.type === "boolean" ? ["true", "false"] : null;
}

function makeSelect(options, value, required) {
  const select = element("select");
  if (!required || value === undefined)
    select.append(element("option", { value: "" }, "(not set)"));
  for (const option of options)
    select.append(element("option", { value: option }, option));
  select.value = formatValue(value);
  return select;
}

function makeInput(schema, key, value, required) {
  const options = allowedValues(schema);
  if (options)
    return makeSelect(options, value, required);
  const input = MULTILINE_KEYS.has(key) ? element("textarea", { rows: 2 })
    : element("input", { type: "text",
      inputmode: schema.type === "integer" ? "numeric" : undefined,
      placeholder: schema.default });
  input.value = formatValue(value);
  return input;
}

function hint(schema) {
  if (schema.type === "integer")
    return `${schema.minimum} to ${schema.maximum}` +
      (schema.default === undefined ? "" : `, ${schema.default} if left out`);
  if (schema.type === "array")
    return "names, with commas between";
  return undefined;
}

function makeField(forms, schema, path, key, required) {
  const id = elementId(path);
  const input = makeInput(schema, key, get(forms.model, path), required);
  const isList = schema.type === "array";
  input.id = id;
  input.title = hint(schema) ?? "";
  input.spellcheck = false;
  input.setAttribute("aria-describedby", `${id}-note`);
  input.addEventListener("input", () => {
    const value = parseValue(input.value, schema);
    if (isList)
      forms.onStructure({ keepForms: true, path, value });
    else
      forms.onValue(path, value);
  });
  /* Leaving an optional input empty removes its key. */
  input.addEventListener("change", () => {
    if (input.value === "" && !required)
      forms.onValue(path, undefined);
  });
  return element("div", { class: "field" },
    element("label", { for: id, class: required ? "required" : undefined },
      labelOf(key)), input, element("p", { id: `${id}-note`, class: "note" }));
}

function makeGroup(forms, schema, path, key) {
  return element("fieldset", {}, element("legend", {}, labelOf(key)),
    makeFields(forms, schema, path));
}

function itemTitle(item, index) {
  return item?.name ? String(item.name) : `number ${index + 1}`;
}

function makeItem(forms, schema, path, index) {
  const own = join(path, index);
  const summary = element("summary", { id: elementId(own) },
    itemTitle(get(forms.model, own), index));
  const remove = element("button", { type: "button" },
    `Remove ${itemTitle(get(forms.model, own), index)}`);
  remove.addEventListener("click", () =>
    forms.onStructure({ remove: index, path }));
  const details = element("details", { class: "item", "data-path": own },
    summary, makeFields(forms, schema, own), remove);
  details.open = forms.open.has(own);
  details.addEventListener("toggle", () => details.open
    ? forms.open.add(own) : forms.open.delete(own));
  return details;
}

function makeList(forms, schema, path, key) {
  const items = get(forms.model, path) ?? [];
  const add = element("button",
    { type: "button", id: `${elementId(path)}-add` },
    `Add to ${labelOf(key).toLowerCase()}`);
  add.addEventListener("click", () => forms.onStructure({ path,
    add: initialValue(schema.items, `new-${items.length + 1}`) }));
  const list = element("div", { class: "list" },
    element("p", { id: `${elementId(path)}-note`, class: "note" }));
  if (Array.isArray(items))
    items.forEach((_, index) =>
      list.append(makeItem(forms, schema.items, path, index)));
  list.append(add);
  return list;
}

function makeControl(forms, schema, path, key, required) {
  if (schema.type === "object")
    return makeGroup(forms, schema, path, key);
  if (schema.type === "array" && schema.items.type === "object")
    return element("fieldset", {}, element("legend", {}, labelOf(key)),
      makeList(forms, schema, path, key));
  return makeField(forms, schema, path, key, required);
}

/* The keys of SCHEMA, required ones first. */
function orderedKeys(schema) {
  const required = schema.required ?? [];
  return [...required, ...Object.keys(schema.properties).filter(
    (key) => !required.includes(key))];
}

function makeFields(forms, schema, path) {
  const fields = element("div", { class: "fields" });
  for (const key of orderedKeys(schema))
    fields.append(makeControl(forms, schema.properties[key], join(path, key),
      key, (schema.required ?? []).includes(key)));
  return fields;
}

function makeSection(forms, key, schema) {
  const count = Array.isArray(forms.model[key])
    ? ` (${forms.model[key].length})` : "";
  const content = schema.type === "array"
    ? makeList(forms, schema, key, key) : makeFields(forms, schema, key);
  const details = element("details", { class: "section", "data-path": key },
    element("summary", { id: elementId(key) }, labelOf(key) + count), content);
  details.open = forms.open.has(key);
  details.addEventListener("toggle", () => details.open
    ? forms.open.add(key) : forms.open.delete(key));
  return details;
}

/* Replace the content of NODE by the forms for forms.model. */
export function render(forms, node) {
  const head = element("div", { class: "fields" });
  const sections = [];
  for (const key of SECTION_ORDER) {
    const schema = forms.schema.properties[key];
    if (schema.type === "array" || schema.type === "object")
      sections.push(makeSection(forms, key, schema));
    else
      head.append(makeField(forms, schema, key, key,
        forms.schema.required.includes(key)));
  }
  node.replaceChildren(head, ...sections);
}

function describeIssue(issue) {
  return issue.message + (issue.allowed ? ` (allowed: ${issue.allowed})` : "");
}

/* The note of the innermost element for PATH or a parent of it; null if there
   is none. */
function findNote(path) {
  for (let own = path; own !== ""; own = parentOf(own)) {
    const note = document.getElementById(`${elementId(own)}-note`);
    if (note)
      return note;
  }
  return null;
}

function markIssue(issue) {
  const note = findNote(issue.path);
  const input = document.getElementById(elementId(issue.path));
  if (note) {
    note.textContent += (note.textContent ? "; " : "") + describeIssue(issue);
    note.classList.add(issue.severity);
  }
  if (input && issue.severity === "error")
    input.setAttribute("aria-invalid", "true");
  if (issue.severity === "error")
    for (const item of document.querySelectorAll("details.item"))
      if (issue.path.startsWith(item.dataset.path))
        item.classList.add("bad");
}

/* Show ISSUES at their fields, replacing those shown before. */
export function markIssues(node, issues) {
  for (const note of node.querySelectorAll(".note")) {
    note.textContent = "";
    note.className = "note";
  }
  for (const input of node.querySelectorAll("[aria-invalid]"))
    input.removeAttribute("aria-invalid");
  for (const item of node.querySelectorAll("details.bad"))
    item.classList.remove("bad");
  issues.forEach(markIssue);
}

/* Open the sections that contain PATH and focus its input, or that of the
   innermost parent that has one. Returns false if there is none. */
export function reveal(forms, path) {
  let target = null;
  for (let own = path; own !== "" && !target; own = parentOf(own))
    target = document.getElementById(elementId(own));
  if (!target)
    return false;
  for (let node = target.parentElement; node; node = node.parentElement)
    if (node.tagName === "DETAILS")
      node.open = true;
  target.focus();
  target.scrollIntoView({ block: "center" });
  return true;
}
