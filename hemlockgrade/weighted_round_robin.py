"""Turns of several parts by their weights."""

from collections.abc import Mapping

import attrs


@attrs.define
class WeightedRoundRobin:
    """Smooth weighted turns: no part waits longer than its weight asks."""

    _credit_by_part: dict[str, float] = attrs.field(factory=dict)

    def next(self, weight_by_part: Mapping[str, float]) -> str | None:
        """Returns the part whose turn it is.

        Args:
            weight_by_part: Weights of the parts that may be chosen.

        Returns:
            None if there is no part.
        """
        if not weight_by_part:
            return None
        if len(weight_by_part) == 1:
            return next(iter(weight_by_part))
        credits = self._credit_by_part
        for part, weight in weight_by_part.items():
            credits[part] = credits.get(part, 0.0) + weight
        chosen = max(weight_by_part, key=lambda part: credits[part])
        credits[chosen] -= sum(weight_by_part.values())
        return chosen
