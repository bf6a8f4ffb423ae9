"""The entry of the measurements: `python -m corianderwall.bench NAME`."""

from corianderwall.bench.runner import measure

if __name__ == "__main__":
    measure()
