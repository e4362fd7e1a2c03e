"""Test that the names in the documentation are in the tree."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import testtools

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
SOURCES = ("arbutusbridge", "tests", "examples", "deploy", ".ci/run")
BLOCK = re.compile(r"^```.*?^```|^ {4}\S[^\n]*", re.DOTALL | re.MULTILINE)
CODE = re.compile(r"`([^`]+)`")
PATH = re.compile(r"[\w./-]+(?:/|\.(?:py|md|toml|json|jsonl|tmpl|txt))")
PHRASE = re.compile(
    r"(?!(?:arbutusbridge|bench|config|fleetbench|make|python|soak|status) )"
    r"[a-z][a-z,;-]*(?: [a-z,;-]+)+"
)
"""Several plain words that are no command: a log message."""
EXCLUDED = re.compile(
    r"\b(?:"
    # Libraries and a tool of the environment.
    r"TCPServer|circuits|orjson|loads|grep|fleetbench|sweep|"
    # What a reader fills in.
    r"BASE|DC|DIR|FOLDER|ID|IP|LOGS|MS|NAME|PORT|REGISTER|RULES|SECONDS|SEED|"
    r"SETTINGS|TRACE|"
    # Generated names and names of the environment in recorded runs: upstreams,
    # services, instances, rounds, deployments and days.
    r"i-[0-9a-f]{10}|[a-z]{4}\d+[a-z]|front-[a-z-]+-\d|[0-9a-f]{8}|"
    r"[a-z]+-[a-z]+-grown|(?:quiet|scale|trouble)-\d)\b"
)
METRIC_PREFIXES = ("", "forward_", "arbutusbridge_", "arbutusbridge_forward_")


def collect_names() -> tuple[set[str], set[str], list[str]]:
    """Returns the words of the tree, its string constants and its paths."""
    words: set[str] = set()
    strings: set[str] = set()
    files = [ROOT / "Makefile", ROOT / "pyproject.toml"]
    for name in SOURCES:
        files += [ROOT / name, *(ROOT / name).rglob("*")]
    files = [path for path in files if "__pycache__" not in path.parts]
    for path in files:
        words |= set(re.findall(r"\w+", str(path.relative_to(ROOT))))
        if path.is_dir() or path == Path(__file__):
            continue
        if path.suffix != ".py":
            words |= set(re.findall(r"\w+", path.read_text()))
            continue
        nodes = list(ast.walk(ast.parse(path.read_text())))
        doc_strings = {id(n.value) for n in nodes if isinstance(n, ast.Expr)}
        for node in nodes:
            for field in ("id", "attr", "name", "arg", "module"):
                words |= set(re.findall(r"\w+", str(getattr(node, field, ""))))
            if isinstance(node, ast.Constant) and id(node) not in doc_strings:
                strings.add(str(node.value))
                words |= set(re.findall(r"\w+", str(node.value)))
    files += [*(ROOT / "docs").rglob("*"), *ROOT.glob("[!.]*")]
    return words, strings, [f"/{path.relative_to(ROOT)}" for path in files]


def is_known(name: str, words: set[str]) -> bool:
    """Returns whether a name, also one of a metric, is known."""
    core = re.sub(r"^(arbutusbridge)?_|_total$", "", name)
    return name in words or any(p + core in words for p in METRIC_PREFIXES)


class NamesTest(testtools.TestCase):
    """Looks up each name in code type of the documentation."""

    def test_names_in_code_type_are_in_the_tree(self) -> None:
        words, strings, paths = collect_names()
        gone = []
        for page in PAGES:
            for code in CODE.findall(BLOCK.sub("", page.read_text())):
                text = EXCLUDED.sub("", " ".join(code.split()))
                if PATH.fullmatch(code):
                    end = f"/{code}".rstrip("/")
                    found = any(path.endswith(end) for path in paths)
                elif PHRASE.fullmatch(text):
                    found = text in strings
                else:
                    names = re.findall(r"\b[A-Za-z_]\w+", text)
                    found = all(is_known(name, words) for name in names)
                gone += [] if found else [f"{page.relative_to(ROOT)}: {code}"]
        self.assertEqual([], gone)

    def test_log_messages_of_the_tables_are_logged(self) -> None:
        strings = collect_names()[1]
        text = (ROOT / "docs/OPERATIONS.md").read_text()
        cells = re.findall(r"^\| (`.*?) \||^\| [^`]+ \| (`.*) \|$", text, re.M)
        messages = [m for pair in cells for m in CODE.findall("".join(pair))]
        self.assertGreater(len(messages), 50)
        self.assertEqual([], [m for m in messages if m not in strings])
