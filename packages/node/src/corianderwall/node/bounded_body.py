"""An in-memory request body of limited size."""

from io import BytesIO


class BoundedBody(BytesIO):
    """Stores up to `limit` bytes; drops the write that exceeds them and all later ones."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self.is_exceeded = False

    def write(self, data: bytes) -> int:  # type: ignore[override]
        """Append the data, or set `is_exceeded` if the body becomes too large."""
        if self.is_exceeded or self.tell() + len(data) > self._limit:
            self.is_exceeded = True
            return len(data)
        return super().write(data)
