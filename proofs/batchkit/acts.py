"""What the servers acted on, held against what the state says of each piece."""

from collections.abc import Mapping


def doubled_steps(acts: Mapping[str, int]) -> dict[str, int]:
    """Steps of batches that are not idempotent and that ran more than once, with how often."""
    return {step: count for step, count in acts.items() if count > 1 and step.split(".")[0] in ("sd", "td")}


def incomplete(pieces: Mapping[str, object], acts: Mapping[str, int]) -> list[str]:
    """Pieces that are done though a server never saw one of their steps."""
    return [
        id
        for id, piece in pieces.items()
        if piece.state.value == "done" and any(f"{id}.{step}" not in acts for step in range(piece.cut.steps))
    ]
