"""Checks that the committed generated code agrees with the schema files; --write renews it."""

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent


def generate(schema: Path, source: Path, output: Path) -> None:
    """Generate the message classes and their stubs for one schema file."""
    arguments = [
        "protoc",
        f"-I{source}",
        f"--python_out={output}",
        f"--pyi_out={output}",
        str(schema),
    ]
    if protoc.main(arguments) != 0:
        sys.exit(f"{schema.name} does not compile")


def find_differences(schema: Path, source: Path) -> list[str]:
    """Return the generated files that are missing from the workspace or differ."""
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder)
        generate(schema, source, output)
        return [
            str(made.relative_to(output))
            for made in sorted(output.rglob("*_pb2.py*"))
            if not _holds(source / made.relative_to(output), made.read_text())
        ]


def _holds(path: Path, text: str) -> bool:
    return path.exists() and path.read_text() == text


def main() -> None:
    """Check all schema files, or write their generated code."""
    failed = False
    for schema in sorted(ROOT.glob("packages/*/src/**/*.proto")):
        source = next(parent for parent in schema.parents if parent.name == "src")
        if "--write" in sys.argv:
            generate(schema, source, source)
            continue
        for name in find_differences(schema, source):
            print(f"{name} does not agree with {schema.name}; run scripts/check_schema.py --write")
            failed = True
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
