"""Power lost at each call to the operating system: what was promised comes back, and nothing else."""

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
    """Keeps what a loss of power would leave before and after each call: all that was synced, of the rest a
    part, and files that were taken away perhaps still there.  Some calls fail."""

    def __init__(self, chance):
        self.chance, self.promised = chance, lambda: 0
        self.synced, self.now, self.paths, self.gone = {}, {}, {}, {}
        self.moments, self.failing = [], 0.0

    def moment(self):
        left = dict(self.synced)
        for path, data in self.now.items():
            known = len(left.get(path, b""))
            left[path] = data[: self.chance.randint(known, len(data))]
        for path, data in self.gone.items():
            if self.chance.random() < 0.5:
                left.setdefault(path, data)
        self.moments.append((left, self.promised()))

    def fails(self):
        if self.chance.random() < self.failing:
            raise OSError(5, "Input/output error")

    def write_atomically(self, path, data):
        self.moment()
        self.fails()
        super().write_atomically(path, data)
        self.synced[path] = self.now[path] = data
        self.gone.clear()  # the folder was synced
        self.moment()

    def open_for_append(self, path):
        fd = super().open_for_append(path)
        self.paths[fd] = path
        return fd

    def write(self, fd, data):
        count = super().write(fd, data[: self.chance.randint(1, len(data))])
        self.now[self.paths[fd]] += bytes(data[:count])
        self.moment()
        self.fails()
        return count

    def fsync(self, fd):
        self.fails()
        super().fsync(fd)
        self.synced[self.paths[fd]] = self.now[self.paths[fd]]
        self.moment()

    def remove(self, path):
        super().remove(path)
        self.gone[path] = self.synced.pop(path)
        del self.now[path]
        self.moment()


class Model:
    """The log as it should stand after each thing that was asked for."""

    def __init__(self):
        self.hard_state, self.terms, self.snapshot, self.states = HardState(0), [], 0, []
        self.keep()

    def keep(self):
        self.states.append((self.hard_state, list(self.terms)))

    def fits(self, least, found):
        """From that state on: a snapshot may be there before the ballot that was asked for with it, and one
        that was asked for may be missing, as long as what it stands for is there."""
        index, terms = found.snapshot.index, [entry.term for entry in found.entries]
        states = self.states[least:]
        return any(found.hard_state == ballot for ballot, _ in states) and any(
            index <= len(log) and terms == log[index:] for _, log in states
        )


def played(path, seed, failing):
    """A bench that was asked for many things, what was to come of each, and the moments of its files."""
    chance, model, files = random.Random(seed), Model(), Recording(random.Random(seed + 1))
    bench, sure = Bench(path, files).founded(), {}  # by what is told: how many states are sure then

    def promised():
        return max(
            [sure.get(t, 0) for t in bench.told if isinstance(t, WriteCompleted)]
            + [sure.get(t.snapshot.index, 0) for t in bench.told if isinstance(t, SnapshotCompleted)],
            default=0,
        )

    files.promised = promised
    bench.disk.segments.size = 400  # many segments
    files.failing = failing
    number, term = 0, 1
    for _ in range(40):
        what, last = chance.random(), len(model.terms)
        if what < 0.75:
            term += chance.random() < 0.2
            cut = (
                chance.randint(model.snapshot + 1, last)
                if last > model.snapshot and chance.random() < 0.2
                else 0
            )
            model.terms = model.terms[: cut - 1] if cut else model.terms
            at = len(model.terms)
            new = tuple(entry(at + n, term, chance.randbytes(40)) for n in range(1, chance.randint(1, 4)))
            model.hard_state = HardState(term) if chance.random() < 0.3 else model.hard_state
            model.terms, number = model.terms + [term] * len(new), number + 1
            model.keep()
            sure[WriteCompleted(number)] = len(model.states) - 1
            bench.disk.write(WriteEntries(number, model.hard_state, cut, new))
        else:
            install = chance.random() < 0.3
            index = last + chance.randint(1, 5) if install else last
            if index <= model.snapshot:
                continue
            if install:
                model.terms = [None] * (index - 1) + [term]
            model.snapshot = index
            model.keep()
            sure[index] = len(model.states) - 1
            bench.disk.snapshot(Snapshot(index, model.terms[-1], MEMBERS, b"book"), not install)
        if chance.random() < 0.4:
            bench.until(lambda: bench.disk.state in (StorageState.IDLE, StorageState.FAILED))
    files.failing = 0.0
    failed = sum(isinstance(t, StorageFailed) for t in bench.told)
    bench.until(
        lambda: (
            sum(isinstance(t, StorageRecovered) for t in bench.told) == failed
            and bench.disk.state is StorageState.IDLE
        )
    )
    files.moment()
    bench.disk.close()
    return model, files.moments


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("failing", [0.0, 0.04])
def test_power_lost_at_any_call(tmp_path, seed, failing):
    model, moments = played(tmp_path / "played", seed, failing)
    assert len(moments) > 10
    for n, (files, least) in enumerate(moments):
        folder = tmp_path / str(n)
        folder.mkdir()
        for path, data in files.items():
            (folder / path.rsplit("/", 1)[1]).write_bytes(data)
        bench = Bench(folder)
        found = bench.disk.open()
        bench.close()
        if found is None:  # before the founding was done
            assert least == 0
            continue
        assert model.fits(least, found), (n, least, found)
