"""The outcome of one check."""

import dataclasses


@dataclasses.dataclass
class Row:
    """Number of cases of a check, and its violations."""

    name: str
    tried: int = 0
    broken: list = dataclasses.field(default_factory=list)

    def case(self, holds, what):
        """Counts a case."""
        self.tried += 1
        if not holds:
            self.broken.append(what)
