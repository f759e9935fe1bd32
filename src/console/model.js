/* Reads and changes a document by path, such as "services[0].slots", and
   helpers for the schema's keys. */

/* The components of PATH: strings for keys, numbers for indexes. */
export function split(path) {
  const parts = [];
  for (const part of path.matchAll(/([^.[\]]+)|\[(\d+)\]/g))
    parts.push(part[2] === undefined ? part[1] : Number(part[2]));
  return parts;
}

export function join(path, part) {
  if (typeof part === "number")
    return `${path}[${part}]`;
  return path === "" ? part : `${path}.${part}`;
}

/* The path of the mapping or list that contains PATH; empty for a top-level
   key. */
export function parentOf(path) {
  return path.replace(/(\.[^.[\]]+|\[\d+\]|^[^.[\]]+)$/, "");
}

export function get(model, path) {
  let value = model;
  for (const part of split(path)) {
    if (value === null || typeof value !== "object")
      return undefined;
    value = value[part];
  }
  return value;
}

function isEmptyObject(value) {
  return value !== null && typeof value === "object" &&
    !Array.isArray(value) && Object.keys(value).length === 0;
}

/* Set PATH to VALUE. If VALUE is undefined, remove the key, and also any
   parent mapping that this leaves empty. */
export function set(model, path, value) {
  const parts = split(path);
  const last = parts.pop();
  const parents = [];
  let container = model;
  for (const part of parts) {
    if (container[part] === undefined) {
      if (value === undefined)
        return;
      container[part] = {};
    }
    parents.push([container, part]);
    container = container[part];
  }
  if (value !== undefined) {
    container[last] = value;
    return;
  }
  delete container[last];
  for (const [parent, part] of parents.reverse())
    if (!Array.isArray(parent) && isEmptyObject(parent[part]))
      delete parent[part];
    else
      break;
}

/* The initial value for SCHEMA. An object gets its required keys, with NAME as
   its name. */
export function initialValue(schema, name) {
  if (schema.enum)
    return schema.enum[0];
  switch (schema.type) {
  case "object":
    return Object.fromEntries((schema.required ?? []).map(
      (key) => [key, key === "name" ? name
        : initialValue(schema.properties[key], name)]));
  case "array":
    return schema.items.type === "object"
      ? [initialValue(schema.items, "new")] : [name];
  case "integer":
    return schema.default ?? Math.max(schema.minimum, 1);
  default:
    return "";
  }
}

/* The label of a key: "latency_target_ms" becomes "Latency target (ms)". */
export function labelOf(key) {
  const units = { ms: "ms", s: "s", mib: "MiB", percent: "%" };
  const parts = key.split("_");
  const last = parts[parts.length - 1];
  const text = parts.length > 1 && units[last]
    ? `${parts.slice(0, -1).join(" ")} (${units[last]})` : parts.join(" ");
  return text[0].toUpperCase() + text.slice(1);
}
