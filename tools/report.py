"""Format the figures and the verdict of a run as text."""

from checker import PROMISES

BREACHES_SHOWN = 5


def _format_cell(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def table(title, rows):
    """Return rows, a dictionary of dictionaries, as lines in columns."""
    if not rows:
        return []
    names = list(next(iter(rows.values())))
    lines = [[title, *(n.replace("_ms", " ms").replace("_", " ")
                       .replace("p99 9", "p99.9") for n in names)]]
    lines += [[row, *(_format_cell(values[n]) for n in names)]
              for row, values in rows.items()]
    widths = [max(len(line[i]) for line in lines)
              for i in range(len(lines[0]))]
    return ["  ".join(cell.ljust(width) if i == 0 else cell.rjust(width)
                      for i, (cell, width) in enumerate(zip(line, widths)))
            for line in lines] + [""]


def text(report):
    """Return the complete report of a checker as text."""
    lines = table("requests", report["requests"])
    lines += table("jobs", report["jobs"])
    lines += table("watchers", report["watchers"])
    lines += verdict(report)
    lines += [f"not done: {error}" for error in report.get("errors", ())]
    return "\n".join(lines)


def verdict(report):
    """Return one line per promise, followed by its first violations."""
    lines = []
    for name, meaning in PROMISES.items():
        breaches = report["breaches"][name]
        state = f"BROKEN {len(breaches)}x" if breaches else "kept"
        lines.append(f"{name:13} {state:10} {meaning}")
        lines += [f"    {b}" for b in breaches[:BREACHES_SHOWN]]
    return lines
