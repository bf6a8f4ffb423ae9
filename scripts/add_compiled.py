"""Adds the compiled files of a folder to the archive made from it: FOLDER ARCHIVE."""

import sys
import zipfile
from pathlib import Path

ROOT = "site-packages"


def main() -> None:
    """Append every compiled file under the name that it has once unpacked."""
    folder, archive = Path(sys.argv[1]), Path(sys.argv[2])
    with zipfile.ZipFile(archive, "a", zipfile.ZIP_DEFLATED) as target:
        present = set(target.namelist())
        for path in sorted(folder.rglob("__pycache__/*.pyc")):
            name = f"{ROOT}/{path.relative_to(folder)}"
            if name not in present:
                target.write(path, name)


if __name__ == "__main__":
    main()
