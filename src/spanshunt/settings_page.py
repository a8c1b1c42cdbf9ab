"""The settings reference, made from the schema.

``python -m spanshunt.settings_page > docs/settings.md`` writes it; a test checks that
the page is up to date.
"""

import re
import typing as t

import msgspec

from .settings import Settings

_HEAD = """# Settings

One JSON file a daemon: `spanshuntd --settings FILE`; `spanshunt check FILE` checks it.
Unknown fields are errors. This page is made from the schema by
`python -m spanshunt.settings_page > docs/settings.md`.
"""
_ATTRIBUTE = re.compile(r"^    ([\w, ]+?)(?: : .+)?$")


def settings_page() -> str:
    """Return the reference as Markdown."""
    parts = [_HEAD]
    for kind in _sections(Settings):
        parts.append(_section(kind))
    return "\n".join(parts)


def _sections(kind: type[t.Any]) -> list[type[t.Any]]:
    found = [kind]
    for field in msgspec.structs.fields(kind):
        for inner in (field.type, *t.get_args(field.type)):
            for deep in (inner, *t.get_args(inner)):
                if isinstance(deep, type) and issubclass(deep, msgspec.Struct):
                    found += [row for row in _sections(deep) if row not in found]
    return found


def _section(kind: type[t.Any]) -> str:
    lines = [f"## {kind.__name__}", "", _first_line(kind), ""]
    lines += ["| field | allowed | default | what it is |", "|---|---|---|---|"]
    meant = _meanings(kind)
    for field in msgspec.structs.fields(kind):
        lines.append(
            f"| `{field.name}` | {_allowed(field.type)} | {_default(field)} "
            f"| {meant.get(field.name, '')} |"
        )
    return "\n".join(lines) + "\n"


def _first_line(kind: type[t.Any]) -> str:
    return (kind.__doc__ or "").splitlines()[0]


def _meanings(kind: type[t.Any]) -> dict[str, str]:
    """Return what the docstring says of each attribute."""
    meant: dict[str, str] = {}
    names: list[str] = []
    for line in (kind.__doc__ or "").splitlines():
        match = _ATTRIBUTE.match(line)
        if match and not line.startswith("     "):
            names = [name.strip() for name in match[1].split(",")]
        elif line.startswith("        ") and names:
            for name in names:
                meant[name] = f"{meant.get(name, '')} {line.strip()}".strip()
    return meant


def _allowed(kind: t.Any) -> str:
    metas = [row for row in t.get_args(kind) if isinstance(row, msgspec.Meta)]
    base = t.get_args(kind)[0] if metas else kind
    if t.get_origin(base) is t.Literal:
        return ", ".join(f"`{value}`" for value in t.get_args(base))
    if t.get_origin(base) is tuple:
        return f"list of {_allowed(t.get_args(base)[0])}"
    bounds = []
    for meta in metas:
        for name, sign in (("ge", "≥"), ("gt", ">"), ("le", "≤"), ("lt", "<")):
            value = getattr(meta, name)
            if value is not None:
                bounds.append(f"{sign} {value}")
        if meta.pattern is not None:
            bounds.append("matches `" + meta.pattern.replace("|", "\\|") + "`")
    text = base.__name__ if isinstance(base, type) else str(base)
    return " ".join([text, ", ".join(bounds)]).strip()


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.default is msgspec.NODEFAULT:
        return "needed" if field.default_factory is msgspec.NODEFAULT else "see there"
    if isinstance(field.default, msgspec.Struct):
        return "see there"
    return f"`{msgspec.json.encode(field.default).decode()}`"


if __name__ == "__main__":
    print(settings_page(), end="")
