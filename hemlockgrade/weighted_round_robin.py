"""Smooth weighted round robin."""

from collections.abc import Mapping

import attrs


@attrs.define
class WeightedRoundRobin:
    """Chooses between names in proportion to their weights.

    The choices of different names are interleaved, so that the choices of one
    name are spread evenly and do not come in bursts.
    """

    _current_weight_by_name: dict[str, float] = attrs.field(factory=dict)

    def next(self, weight_by_name: Mapping[str, float]) -> str | None:
        """Returns the name that is chosen next.

        Args:
            weight_by_name: Weights of the names to choose from.

        Returns:
            The chosen name; None if there are no names.
        """
        if not weight_by_name:
            return None
        if len(weight_by_name) == 1:
            return next(iter(weight_by_name))
        current_weights = self._current_weight_by_name
        for name, weight in weight_by_name.items():
            current_weights[name] = current_weights.get(name, 0.0) + weight
        chosen = max(weight_by_name, key=lambda name: current_weights[name])
        current_weights[chosen] -= sum(weight_by_name.values())
        return chosen

    def skip(self, weight_by_name: Mapping[str, float], count: int) -> None:
        """Skips choices, so that the next ones begin at another place.

        Args:
            weight_by_name: Weights of the names to choose from.
            count: Number of choices.
        """
        if len(weight_by_name) > 1:
            for _ in range(count):
                self.next(weight_by_name)
