/* The console: sign-in, editing, checking and publishing the document.

   The document's text is authoritative.  A value changed in a form replaces
   the old value in the text, so that comments and layout are kept; a change
   that adds or removes list items emits the whole text again.  The entry
   checks every text, while it is edited and again when it is published. */

import { get, join, parentOf, set, split } from "./model.js";
import { diffLines, emit, insertAfter, replaceAt } from "./yaml.js";
import { markIssues, render, reveal } from "./forms.js";

const TOKEN_KEY = "galenapier-token";
const CHECK_DELAY_MS = 200;
const STATUS_EVERY_MS = 3000;
const UNDO_MAX = 200;
const CONTEXT_LINES = 3;

const $ = (id) => document.getElementById(id);

const state = {
  schema: null,
  base: { revision: 0, author: "", text: "", model: null },
  text: "",
  model: null,
  checked: null, /* the last check's result, with the text checked */
  pending: new Map(), /* path -> value changed in forms since that check */
  isFormChange: false, /* whether the last change was made in a form */
  timer: 0,
  checkNumber: 0, /* number of the last check; earlier answers are ignored */
  undo: [],
  view: "forms",
  theirs: null, /* the current revision, if it conflicts with the base */
  publishedRevision: 0, /* the revision published last */
};

const forms = {
  schema: null,
  model: null,
  open: new Set(["services", "batch_jobs", "watchers", "teams"]),
  onValue: changeValue,
  onStructure: changeStructure,
};

/* Calls of the operators' HTTP API. */

class HttpError extends Error {
  constructor(status, answer) {
    super(answer.message ?? `HTTP ${status}`);
    this.status = status;
    this.answer = answer;
  }
}

async function call(method, path, body) {
  const answer = await fetch(path, {
    method,
    headers: { authorization: `Bearer ${sessionStorage.getItem(TOKEN_KEY)}` },
    body: body === undefined ? undefined : JSON.stringify(body),
    cache: "no-store",
  });
  const json = await answer.json().catch(() => ({}));
  if (answer.status === 401)
    signOut("The token is not accepted.");
  if (!answer.ok)
    throw new HttpError(answer.status, json);
  return json;
}

/* Sign-in. */

function signOut(reason) {
  sessionStorage.removeItem(TOKEN_KEY);
  $("editor").hidden = true;
  $("sign-out").hidden = true;
  $("sign-in").hidden = false;
  $("sign-in-error").textContent = reason;
  $("config-status").textContent = "";
  $("token").value = "";
  $("token").focus();
}

async function signIn() {
  try {
    const status = await call("GET", "/v1/status");
    $("site").textContent = `${status.site} at ${status.entry}`;
    showConfigStatus(status);
    await load(status.site);
  } catch (error) {
    if (error.status === 429)
      signOut("Too many failed sign-ins from here. Wait a few seconds.");
    else if (error.status !== 401)
      signOut(`The entry cannot be asked: ${error.message}`);
    return;
  }
  $("sign-in").hidden = true;
  $("editor").hidden = false;
  $("sign-out").hidden = false;
  $("show-forms").focus();
}

/* Status of the configuration. */

function showConfigStatus(status) {
  const processes = [...status.entries, ...status.guards].filter(
    (process) => process.state !== "gone");
  const wanted = Math.max(status.config_revision, state.publishedRevision);
  const count = processes.filter(
    (process) => process.config_revision >= wanted).length;
  $("config-status").textContent = wanted === 0 ? "No revision yet."
    : `Revision ${wanted} is in force at ${count} of ${processes.length} ` +
      `processes. Log: ${status.log.state}.`;
}

async function refreshConfigStatus() {
  if ($("editor").hidden || document.hidden)
    return;
  try {
    showConfigStatus(await call("GET", "/v1/status"));
  } catch (error) {
    $("config-status").textContent =
      `The entry cannot be asked: ${error.message}`;
  }
}

/* Loading. */

async function fetchCurrent(site) {
  const config = await call("GET", "/v1/config");
  const text = config.document || `version: 1\nsite: ${site}\n`;
  const check = await call("POST", "/v1/check", { document: text, tree: true });
  return { revision: config.revision, author: config.author ?? "",
    comment: config.comment ?? "", text, model: check.tree };
}

async function load(site) {
  state.base = await fetchCurrent(site);
  state.undo = [];
  $("conflict").hidden = true;
  state.theirs = null;
  replaceText(state.base.text);
}

/* Changes. */

function pushUndo() {
  if (state.undo[state.undo.length - 1] === state.text)
    return;
  state.undo.push(state.text);
  if (state.undo.length > UNDO_MAX)
    state.undo.shift();
}

/* Replace the whole text; the forms are updated after its check. */
function replaceText(text) {
  state.text = text;
  state.pending.clear();
  state.checked = null;
  state.isFormChange = false;
  $("document").value = text;
  $("publish-result").textContent = "";
  scheduleCheck(0);
}

/* Emit the text from the model, which drops comments. */
function emitModel() {
  const hadComments = /(^|\s)#/m.test(state.text);
  state.text = emit(state.model);
  state.pending.clear();
  state.checked = null;
  $("publish-result").textContent = hadComments
    ? "The text was written anew, without its comments. Undo brings them back."
    : "";
}

/* Where to write the value of PATH in the checked text: at its own place, or
   after the last scalar member of the same mapping; null if there is
   neither. */
function findTarget(path) {
  const { places, tree } = state.checked;
  if (places[path])
    return { path, place: places[path], old: get(tree, path) };
  const parent = parentOf(path);
  let best = null;
  for (const [key, value] of Object.entries(
    (parent === "" ? tree : get(tree, parent)) ?? {})) {
    const siblingPath = join(parent, key);
    if (typeof value !== "object" && places[siblingPath] &&
      (!best || isAfter(places[siblingPath], best.place)))
      best = { path, place: places[siblingPath], old: value, sibling: key };
  }
  return best;
}

function isAfter(a, b) {
  return a[0] > b[0] || (a[0] === b[0] && a[1] > b[1]);
}

/* Order targets from the end of the text to its start, so that the places of
   those not yet applied remain valid. At the same place, an insertion after
   the value comes before the replacement of the value. */
function compareTargets(a, b) {
  if (isAfter(a.place, b.place))
    return -1;
  if (isAfter(b.place, a.place))
    return 1;
  return (a.sibling ? 0 : 1) - (b.sibling ? 0 : 1);
}

function applyTarget(text, target) {
  const value = state.pending.get(target.path);
  if (!target.sibling)
    return replaceAt(text, target.place, target.old, value);
  const key = split(target.path).pop();
  return insertAfter(text, target.place, target.sibling, target.old, key,
    value);
}

/* Write the pending values into the checked text. Returns false, with the text
   unchanged, if one of them cannot be written in place. */
function applyPending() {
  if (!state.checked?.places)
    return false;
  const targets = [...state.pending.keys()].map(findTarget);
  if (targets.includes(null))
    return false;
  let text = state.checked.text;
  for (const target of targets.sort(compareTargets)) {
    text = applyTarget(text, target);
    if (text === null)
      return false;
  }
  state.text = text;
  return true;
}

function changeValue(path, value) {
  pushUndo();
  set(state.model, path, value);
  state.isFormChange = true;
  if (value === undefined) {
    const wasNew = get(state.checked?.tree, path) === undefined;
    state.pending.delete(path);
    if (!wasNew || !applyPending())
      emitModel();
  } else {
    state.pending.set(path, value);
    if (!applyPending())
      emitModel();
  }
  afterFormChange();
}

function changeStructure(change) {
  pushUndo();
  if (change.keepForms)
    set(state.model, change.path, change.value);
  else if (change.add !== undefined)
    set(state.model, change.path,
      [...(get(state.model, change.path) ?? []), change.add]);
  else {
    const rest = get(state.model, change.path).filter(
      (_, index) => index !== change.remove);
    set(state.model, change.path, rest.length > 0 ? rest : undefined);
  }
  state.isFormChange = true;
  emitModel();
  if (!change.keepForms)
    renderAndFocus(change);
  afterFormChange();
}

function renderAndFocus(change) {
  const items = get(state.model, change.path) ?? [];
  if (change.add !== undefined)
    forms.open.add(`${change.path}[${items.length - 1}]`);
  renderForms();
  if (change.add !== undefined)
    reveal(forms, `${change.path}[${items.length - 1}].name`);
  else
    document.getElementById(`field-${change.path}-add`)?.focus();
}

function afterFormChange() {
  $("document").value = state.text;
  scheduleCheck(CHECK_DELAY_MS);
}

/* The check. */

function scheduleCheck(delay) {
  clearTimeout(state.timer);
  state.timer = setTimeout(check, delay);
  $("publish").disabled = true;
}

async function check() {
  const text = state.text;
  const number = ++state.checkNumber;
  let answer;
  try {
    answer = await call("POST", "/v1/check", { document: text, tree: true });
  } catch (error) {
    showVerdict("bad", `Not checked: ${error.message}`);
    return;
  }
  if (number !== state.checkNumber || text !== state.text)
    return;
  state.checked = { ...answer, text };
  state.pending.clear();
  updateModel(answer.tree);
  showCheckResult();
}

function updateModel(tree) {
  const isTree = tree !== null && typeof tree === "object" &&
    !Array.isArray(tree);
  if (state.isFormChange && isTree && state.model)
    return;
  /* Copied, as forms change the model and the tree must remain as checked. */
  state.model = isTree ? structuredClone(tree) : null;
  renderForms();
}

function renderForms() {
  forms.model = state.model;
  if (state.model)
    render(forms, $("forms"));
  else
    $("forms").textContent = "The text is not a YAML mapping; mend it as text.";
}

function showVerdict(kind, text) {
  $("verdict").className = `verdict ${kind}`;
  $("verdict").textContent = text;
}

function showCheckResult() {
  const { ok, issues, text } = state.checked;
  const errors = issues.filter((issue) => issue.severity === "error").length;
  const warnings = issues.length - errors;
  const isSame = text === state.base.text && state.base.revision > 0;
  if (!ok)
    showVerdict("bad", `Not valid: ${errors} fault(s).`);
  else if (warnings > 0)
    showVerdict("warn", `Valid, with ${warnings} warning(s).`);
  else
    showVerdict("good", isSame ? "Valid; nothing is changed." : "Valid.");
  showIssues(issues);
  markIssues($("forms"), issues);
  showChanges();
  $("publish").disabled = !ok || isSame || !$("conflict").hidden;
}

function makeIssue(issue) {
  const item = document.createElement("li");
  const button = document.createElement("button");
  item.className = issue.severity;
  button.type = "button";
  button.textContent = `line ${issue.line}: ${issue.path}: ${issue.message}` +
    (issue.allowed ? ` (allowed: ${issue.allowed})` : "");
  button.addEventListener("click", () => goToIssue(issue));
  item.append(button);
  return item;
}

function showIssues(issues) {
  $("issues").hidden = issues.length === 0;
  $("issue-list").replaceChildren(...issues.map(makeIssue));
}

function goToIssue(issue) {
  if (state.view === "forms" && split(issue.path).length > 0 &&
    reveal(forms, issue.path))
    return;
  showView("text");
  const lines = state.text.split("\n");
  const start = lines.slice(0, issue.line - 1).join("\n").length +
    (issue.line > 1 ? 1 : 0);
  const area = $("document");
  area.focus();
  area.setSelectionRange(start, start + (lines[issue.line - 1] ?? "").length);
}

/* Changes against a revision. */

/* Compare two documents in normalized form. If they are equal in that form but
   their texts differ, or if one has no model, compare the texts. */
function diffDocuments(old, oldModel, current, model) {
  if (oldModel && model) {
    const lines = diffLines(emit(oldModel), emit(model));
    if (lines.some(([sign]) => sign !== " ") || old === current)
      return lines;
  }
  return diffLines(old, current);
}

function makeLine(sign, line) {
  const node = document.createElement("span");
  node.textContent = `${sign} ${line}`;
  if (sign === "+")
    node.className = "added";
  if (sign === "-")
    node.className = "removed";
  return node;
}

function isInContext(lines, index) {
  const from = Math.max(0, index - CONTEXT_LINES);
  return lines.slice(from, index + CONTEXT_LINES + 1).some(
    ([sign]) => sign !== " ");
}

function showDiff(node, lines) {
  const shown = [];
  let skipped = false;
  lines.forEach(([sign, line], index) => {
    if (isInContext(lines, index)) {
      if (skipped)
        shown.push(makeLine(" ", "..."));
      shown.push(makeLine(sign, line));
    }
    skipped = !isInContext(lines, index);
  });
  node.replaceChildren(...shown);
  if (shown.length === 0)
    node.textContent = "Nothing differs.";
}

function showChanges() {
  const { base } = state;
  $("base").textContent = base.revision > 0
    ? `revision ${base.revision} by ${base.author}` : "an empty document";
  if (state.view === "changes")
    showDiff($("diff"), diffDocuments(base.text, base.model, state.text,
      state.checked?.tree));
}

/* Publishing. */

async function publish() {
  const result = $("publish-result");
  const text = state.text;
  $("publish").disabled = true;
  result.textContent = "Publishing...";
  try {
    const answer = await call("POST", "/v1/config", {
      base: state.base.revision, author: $("author").value,
      comment: $("comment").value, document: text });
    onPublished(answer.revision, text);
  } catch (error) {
    await onPublishFailed(error);
  }
}

function onPublished(revision, text) {
  state.base = { revision, author: $("author").value, text,
    model: state.checked?.tree ?? null };
  state.publishedRevision = revision;
  $("comment").value = "";
  $("publish-result").textContent = `Revision ${revision} is published.`;
  refreshConfigStatus();
  if (state.checked)
    showCheckResult();
}

async function onPublishFailed(error) {
  const result = $("publish-result");
  if (error.status === 409) {
    result.textContent = "Not published: another revision came first.";
    await showConflict();
    return;
  }
  if (error.status === undefined || error.status === 504) {
    result.textContent = "It is not known whether this was published. " +
      "Load again to see.";
    return;
  }
  result.textContent = `Not published: ${error.message}`;
  if (error.answer.issues && state.checked) {
    state.checked = { ...state.checked, ok: false,
      issues: error.answer.issues };
    showCheckResult();
    return;
  }
  $("publish").disabled = false;
}

/* Show what the conflicting revision changed relative to the base of the
   edited text. */
async function showConflict() {
  const { base } = state;
  let theirs;
  try {
    theirs = await fetchCurrent("");
  } catch (error) {
    $("publish-result").textContent += ` It cannot be read: ${error.message}`;
    return;
  }
  state.theirs = theirs;
  $("conflict-text").textContent = `Revision ${theirs.revision} by ` +
    `${theirs.author || "an unknown author"}` +
    (theirs.comment ? ` ("${theirs.comment}")` : "") +
    ` took the place of revision ${base.revision}, on which your text is ` +
    "based. This is what it changed:";
  showDiff($("conflict-diff"),
    diffDocuments(base.text, base.model, theirs.text, theirs.model));
  $("conflict").hidden = false;
  $("conflict").focus();
}

function rebaseText() {
  state.base = state.theirs;
  state.theirs = null;
  $("conflict").hidden = true;
  $("publish-result").textContent = "Your text is now based on revision " +
    `${state.base.revision}. Look at the changes before you publish: they ` +
    "take back what it does not have.";
  showView("changes");
  scheduleCheck(0);
}

function discardText() {
  state.base = state.theirs;
  state.theirs = null;
  $("conflict").hidden = true;
  $("publish-result").textContent = "";
  pushUndo();
  replaceText(state.base.text);
  $("show-forms").focus();
}

/* Views and events. */

function showView(view) {
  state.view = view;
  for (const name of ["forms", "text", "changes"]) {
    $(name).hidden = name !== view;
    $(`show-${name}`).setAttribute("aria-pressed", String(name === view));
  }
  if (view === "forms" && state.isFormChange === false && state.model)
    renderForms();
  if (state.checked)
    showCheckResult();
}

function undo() {
  while (state.undo.length > 0) {
    const text = state.undo.pop();
    if (text !== state.text) {
      replaceText(text);
      return;
    }
  }
}

async function reload() {
  if (state.text !== state.base.text &&
    !window.confirm("Drop what you changed?"))
    return;
  $("publish-result").textContent = "";
  try {
    const status = await call("GET", "/v1/status");
    await load(status.site);
  } catch (error) {
    $("publish-result").textContent = `Not loaded: ${error.message}`;
  }
}

function onTextInput() {
  pushUndo();
  state.text = $("document").value;
  state.pending.clear();
  state.checked = null;
  state.isFormChange = false;
  scheduleCheck(CHECK_DELAY_MS);
}

function onSubmit(id, action) {
  $(id).addEventListener("submit", (event) => {
    event.preventDefault();
    action();
  });
}

async function start() {
  state.schema = await (await fetch("/console/schema.json")).json();
  forms.schema = state.schema;
  onSubmit("sign-in-form", () => {
    sessionStorage.setItem(TOKEN_KEY, $("token").value);
    $("token").value = "";
    signIn();
  });
  onSubmit("publish-form", publish);
  for (const view of ["forms", "text", "changes"])
    $(`show-${view}`).addEventListener("click", () => showView(view));
  $("document").addEventListener("input", onTextInput);
  $("undo").addEventListener("click", undo);
  $("reload").addEventListener("click", reload);
  $("sign-out").addEventListener("click", () => signOut(""));
  $("conflict-keep").addEventListener("click", rebaseText);
  $("conflict-drop").addEventListener("click", discardText);
  window.addEventListener("beforeunload", (event) => {
    if (!$("editor").hidden && state.text !== state.base.text)
      event.preventDefault();
  });
  setInterval(refreshConfigStatus, STATUS_EVERY_MS);
  if (sessionStorage.getItem(TOKEN_KEY))
    signIn();
  else
    $("token").focus();
}

start();
