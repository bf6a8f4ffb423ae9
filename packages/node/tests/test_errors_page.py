from pathlib import Path

from corianderwall.ctl.failures import choose_exit_code
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.node.operators import find_http_status
from corianderwall.node.responses import STATUS_BY_CODE

PAGE = Path(__file__).resolve().parents[3] / "docs" / "ERRORS.md"


def read_rows() -> list[list[str]]:
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("| CW")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def test_the_page_lists_every_code_with_its_statuses_and_exit() -> None:
    expected = [
        [
            code.value,
            code.name,
            str(find_http_status(code)),
            str(STATUS_BY_CODE.get(code, "-")),
            str(choose_exit_code(CorianderwallError(code, "")).value),
        ]
        for code in ErrorCode
    ]
    assert [row[:5] for row in read_rows()] == expected


def test_every_row_says_what_it_means_and_what_to_do() -> None:
    for row in read_rows():
        assert len(row) == 7
        assert row[5] and row[6], row[0]
