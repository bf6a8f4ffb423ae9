"""A request's body in memory, cut off at a limit."""

from io import BytesIO


class BoundedBody(BytesIO):
    """Takes up at most `limit` bytes and drops the rest."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self.is_exceeded = False

    def write(self, data: bytes) -> int:  # type: ignore[override]
        """Append the data, or note that the body is too large."""
        if self.is_exceeded or self.tell() + len(data) > self._limit:
            self.is_exceeded = True
            return len(data)
        return super().write(data)
