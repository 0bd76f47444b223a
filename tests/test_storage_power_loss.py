"""Loss of power at each file operation: all completed writes are recovered, and nothing else."""

import random

import pytest

from disks import MEMBERS, Bench, entry
from indigohitch.fleet.raft.interfaces import (
    HardState,
    Snapshot,
    SnapshotCompleted,
    StorageFailed,
    StorageRecovered,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.fleet.storage.store import StorageState


class Recording(FileSystem):
    """Records what a loss of power could leave on the disk before and after each file operation.

    That is all synced data, a part of the rest, and perhaps files that were removed.  Operations fail with
    probability `failing`.
    """

    def __init__(self, rng):
        self.rng = rng
        self.guaranteed_state = lambda: 0  # number of the last state that is guaranteed
        self.synced = {}  # by path: what a loss of power leaves in any case
        self.written = {}  # by path: what was written
        self.paths = {}  # by descriptor
        self.removed = {}  # by path: removed since the folder was last synced
        self.crash_images = []  # (content after a loss of power, number of the guaranteed state)
        self.failing = 0.0

    def record_crash_image(self):
        image = dict(self.synced)
        for path, data in self.written.items():
            known = len(image.get(path, b""))
            image[path] = data[: self.rng.randint(known, len(data))]
        for path, data in self.removed.items():
            if self.rng.random() < 0.5:
                image.setdefault(path, data)
        self.crash_images.append((image, self.guaranteed_state()))

    def fails(self):
        if self.rng.random() < self.failing:
            raise OSError(5, "Input/output error")

    def write_atomically(self, path, data):
        self.record_crash_image()
        self.fails()
        super().write_atomically(path, data)
        self.synced[path] = self.written[path] = data
        self.removed.clear()  # the folder was synced
        self.record_crash_image()

    def open_for_append(self, path):
        fd = super().open_for_append(path)
        self.paths[fd] = path
        return fd

    def write(self, fd, data):
        count = super().write(fd, data[: self.rng.randint(1, len(data))])
        self.written[self.paths[fd]] += bytes(data[:count])
        self.record_crash_image()
        self.fails()
        return count

    def fsync(self, fd):
        self.fails()
        super().fsync(fd)
        self.synced[self.paths[fd]] = self.written[self.paths[fd]]
        self.record_crash_image()

    def remove(self, path):
        super().remove(path)
        self.removed[path] = self.synced.pop(path)
        del self.written[path]
        self.record_crash_image()


class Model:
    """The expected log after each request."""

    def __init__(self):
        self.hard_state = HardState(0)
        self.terms = []
        self.snapshot = 0
        self.states = []
        self.save()

    def save(self):
        self.states.append((self.hard_state, list(self.terms)))

    def matches(self, least, recovered):
        """Returns whether `recovered` matches a state at or after number `least`.

        A snapshot may be on the disk before the hard state that was requested with it; a requested snapshot
        may be missing, as long as the entries that it covers are there.
        """
        index, terms = recovered.snapshot.index, [entry.term for entry in recovered.entries]
        states = self.states[least:]
        return any(recovered.hard_state == hard_state for hard_state, _ in states) and any(
            index <= len(log) and terms == log[index:] for _, log in states
        )


def run_random_requests(path, seed, failing):
    """Makes random requests; returns the expected states and the recorded contents of the disk."""
    rng = random.Random(seed)
    model = Model()
    files = Recording(random.Random(seed + 1))
    bench, guaranteed = Bench(path, files).founded(), {}  # by event: the state that it guarantees

    def guaranteed_state():
        return max(
            [guaranteed.get(event, 0) for event in bench.told if isinstance(event, WriteCompleted)]
            + [
                guaranteed.get(event.snapshot.index, 0)
                for event in bench.told
                if isinstance(event, SnapshotCompleted)
            ],
            default=0,
        )

    files.guaranteed_state = guaranteed_state
    bench.disk.segments.size = 400  # bytes: many segments
    files.failing = failing
    number, term = 0, 1
    for _ in range(40):
        kind, last = rng.random(), len(model.terms)
        if kind < 0.75:
            term += rng.random() < 0.2
            truncate_from = (
                rng.randint(model.snapshot + 1, last) if last > model.snapshot and rng.random() < 0.2 else 0
            )
            model.terms = model.terms[: truncate_from - 1] if truncate_from else model.terms
            at = len(model.terms)
            new = tuple(entry(at + n, term, rng.randbytes(40)) for n in range(1, rng.randint(1, 4)))
            model.hard_state = HardState(term) if rng.random() < 0.3 else model.hard_state
            model.terms, number = model.terms + [term] * len(new), number + 1
            model.save()
            guaranteed[WriteCompleted(number)] = len(model.states) - 1
            bench.disk.write(WriteEntries(number, model.hard_state, truncate_from, new))
        else:
            install = rng.random() < 0.3
            index = last + rng.randint(1, 5) if install else last
            if index <= model.snapshot:
                continue
            if install:
                model.terms = [None] * (index - 1) + [term]
            model.snapshot = index
            model.save()
            guaranteed[index] = len(model.states) - 1
            bench.disk.snapshot(Snapshot(index, model.terms[-1], MEMBERS, b"book"), not install)
        if rng.random() < 0.4:
            bench.until(lambda: bench.disk.state in (StorageState.IDLE, StorageState.FAILED))
    files.failing = 0.0
    failed = sum(isinstance(event, StorageFailed) for event in bench.told)
    bench.until(
        lambda: (
            sum(isinstance(event, StorageRecovered) for event in bench.told) == failed
            and bench.disk.state is StorageState.IDLE
        )
    )
    files.record_crash_image()
    bench.disk.close()
    return model, files.crash_images


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("failing", [0.0, 0.04])
def test_completed_writes_are_recovered_after_a_loss_of_power_at_any_operation(tmp_path, seed, failing):
    model, crash_images = run_random_requests(tmp_path / "played", seed, failing)
    assert len(crash_images) > 10
    for number, (files, least) in enumerate(crash_images):
        folder = tmp_path / str(number)
        folder.mkdir()
        for path, data in files.items():
            (folder / path.rsplit("/", 1)[1]).write_bytes(data)
        bench = Bench(folder)
        recovered = bench.disk.open()
        bench.close()
        if recovered is None:  # before the initialization was completed
            assert least == 0
            continue
        assert model.matches(least, recovered), (number, least, recovered)
