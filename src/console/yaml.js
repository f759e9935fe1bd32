/* Emits YAML, changes single values of a YAML text in place, and compares
   texts by line. */

/* Strings that can be written without quotes, except for RESERVED_WORDS, which
   YAML would read as a boolean or null. */
const PLAIN_SCALAR = /^[A-Za-z/][A-Za-z0-9._/~-]*( [A-Za-z0-9._/~-]+)*$/;
const RESERVED_WORDS = /^(true|false|null|yes|no|on|off|y|n)$/i;
/* Limits the time and memory of a line comparison: the number of pairs of old
   and new lines. */
const MAX_COMPARED_PAIRS = 4e6;

export function formatScalar(value) {
  if (typeof value === "number" || typeof value === "boolean")
    return String(value);
  if (PLAIN_SCALAR.test(value) && !RESERVED_WORDS.test(value))
    return value;
  return JSON.stringify(value);
}

/* Whether VALUE contains only scalars, and so is written in flow style. */
function isFlat(value) {
  return Object.values(value).every((part) => typeof part !== "object");
}

function formatFlow(value) {
  if (Array.isArray(value))
    return `[${value.map(formatScalar).join(", ")}]`;
  const parts = Object.entries(value).map(
    ([key, part]) => `${key}: ${formatScalar(part)}`);
  return `{${parts.join(", ")}}`;
}

function emitMember(key, value, indent, lines) {
  if (value === null || typeof value !== "object")
    lines.push(`${indent}${key}: ${formatScalar(value ?? "")}`);
  else if (isFlat(value))
    lines.push(`${indent}${key}: ${formatFlow(value)}`);
  else {
    lines.push(`${indent}${key}:`);
    emitValue(value, `${indent}  `, lines);
  }
}

function emitItem(item, indent, lines) {
  if (item === null || typeof item !== "object") {
    lines.push(`${indent}- ${formatScalar(item ?? "")}`);
    return;
  }
  const own = [];
  emitValue(item, `${indent}  `, own);
  if (own.length === 0)
    own.push(`${indent}  {}`);
  own[0] = `${indent}- ${own[0].slice(indent.length + 2)}`;
  lines.push(...own);
}

function emitValue(value, indent, lines) {
  if (Array.isArray(value))
    for (const item of value)
      emitItem(item, indent, lines);
  else
    for (const [key, part] of Object.entries(value))
      emitMember(key, part, indent, lines);
}

export function emit(model) {
  const lines = [];
  for (const [key, value] of Object.entries(model)) {
    const isBlock = value !== null && typeof value === "object" &&
      !isFlat(value);
    if (isBlock && lines.length > 0)
      lines.push("");
    emitMember(key, value, "", lines);
  }
  return `${lines.join("\n")}\n`;
}

/* The length of the scalar at the start of TEXT: any quoted scalar, or OLD
   written plainly. -1 if there is neither. */
function scalarLength(text, old) {
  const quoted = /^(?:"(?:[^"\\\n]|\\.)*"|'(?:[^'\n]|'')*')/.exec(text);
  if (quoted)
    return quoted[0].length;
  return text.startsWith(String(old)) ? String(old).length : -1;
}

/* Split TEXT into lines, and the line of PLACE ([line, column], from 1) before
   and after the value OLD at that place. null if OLD is not there. */
function splitAtValue(text, place, old) {
  const lines = text.split("\n");
  const characters = Array.from(lines[place[0] - 1] ?? "");
  const before = characters.slice(0, place[1] - 1).join("");
  const rest = characters.slice(place[1] - 1).join("");
  const size = scalarLength(rest, old);
  if (size < 0)
    return null;
  return { lines, before, token: rest.slice(0, size), after: rest.slice(size) };
}

/* TEXT with the value OLD at PLACE replaced by VALUE, or null if OLD is not
   there. */
export function replaceAt(text, place, old, value) {
  const parts = splitAtValue(text, place, old);
  if (!parts)
    return null;
  parts.lines[place[0] - 1] = parts.before + formatScalar(value) + parts.after;
  return parts.lines.join("\n");
}

/* TEXT with KEY added after the member SIBLING, whose value OLD is at PLACE,
   in the same style (block or flow) as that member; or null if that is not
   possible. */
export function insertAfter(text, place, sibling, old, key, value) {
  const parts = splitAtValue(text, place, old);
  const match = parts && new RegExp(`^(.*?)${sibling}: *$`).exec(parts.before);
  if (!match)
    return null;
  const member = `${key}: ${formatScalar(value)}`;
  if (/^\s*(- +)?$/.test(match[1]))
    parts.lines.splice(place[0], 0, " ".repeat(match[1].length) + member);
  else if (/[{,]\s*$/.test(match[1]))
    parts.lines[place[0] - 1] = parts.before + parts.token + ", " + member +
      parts.after;
  else
    return null;
  return parts.lines.join("\n");
}

/* The lengths of the longest common subsequences of the suffixes of A and B,
   from each pair of lines on. */
function subsequenceLengths(a, b) {
  const width = b.length + 1;
  const lengths = new Uint32Array((a.length + 1) * width);
  for (let i = a.length - 1; i >= 0; i--)
    for (let j = b.length - 1; j >= 0; j--)
      lengths[i * width + j] = a[i] === b[j]
        ? lengths[(i + 1) * width + j + 1] + 1
        : Math.max(lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
  return lengths;
}

/* Compare the lines between the common start and end. Beyond the limit, all of
   A is shown as removed and all of B as added. */
function diffMiddle(a, b) {
  if (a.length * b.length > MAX_COMPARED_PAIRS)
    return [...a.map((line) => ["-", line]), ...b.map((line) => ["+", line])];
  const lengths = subsequenceLengths(a, b);
  const width = b.length + 1;
  const result = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length)
    if (i < a.length && j < b.length && a[i] === b[j]) {
      result.push([" ", a[i++]]);
      j++;
    } else if (j === b.length || (i < a.length &&
      lengths[(i + 1) * width + j] >= lengths[i * width + j + 1]))
      result.push(["-", a[i++]]);
    else
      result.push(["+", b[j++]]);
  return result;
}

/* The line differences from OLD to CURRENT, as a list of [mark, line]; mark is
   " ", "-" or "+". */
export function diffLines(old, current) {
  const a = old.split("\n");
  const b = current.split("\n");
  let start = 0;
  let end = 0;
  while (start < a.length && start < b.length && a[start] === b[start])
    start++;
  while (end < a.length - start && end < b.length - start &&
    a[a.length - 1 - end] === b[b.length - 1 - end])
    end++;
  const same = (line) => [" ", line];
  return [...a.slice(0, start).map(same),
    ...diffMiddle(a.slice(start, a.length - end),
      b.slice(start, b.length - end)),
    ...a.slice(a.length - end).map(same)];
}
