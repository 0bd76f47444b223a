"""What must hold after every step of every schedule of the ledger's members (Ongaro and Ousterhout 2014,
figure 3, and docs/ledger.md).  A breach raises `Breach`."""

from __future__ import annotations

from indigohitch.fleet.raft.messages import AppendEntries, InstallSnapshot, RequestVote, RequestVoteResponse


class Breach(AssertionError):
    """A promise of the ledger is broken."""


class Checks:
    def __init__(self, world) -> None:
        self.world = world
        self.leaders = {}  # term -> who
        self.votes = {}  # (who, term) -> candidate
        self.seen = {}  # (index, term) -> (entry, term of the one before)
        self.committed = []  # entries from 1 on, as the first that committed them had them
        self.committed_in = []  # in which term that was
        self.digests = {}  # index -> digest of the state machine there
        self.effects = {}  # proposal -> index
        self.acked = 0  # the highest index that any client was told of
        self.reads = {}  # number -> `acked` as it began

    # ---- the log -----------------------------------------------------------------------------------

    def written(self, station, write) -> None:
        """Logs agree: what stands at an index in a term is the same everywhere, and so is what is before."""
        log = station.machine.state.log
        for entry in write.entries:
            now = (entry, log.term(entry.index - 1))
            if now[1] is None:
                continue  # it was put into a snapshot since
            before = self.seen.setdefault((entry.index, entry.term), now)
            if before != now:
                raise Breach(f"logs differ at {entry.index} of term {entry.term}")

    def proposed(self, station, write) -> None:
        """A leader changes the members one at a time."""
        steps, machine = station.machine.state.configuration.history, station.machine
        if machine.leadership is not None and write.entries and steps[-1][0] == write.entries[-1].index:
            if len(steps) > 1 and steps[-2][0] > machine.commit_index:
                raise Breach(
                    f"{station.me.name} changes members at {steps[-1][0]}, that of {steps[-2][0]} "
                    "isn't committed"
                )

    def commits(self, station, entries) -> None:
        """The same everywhere, in order, and on the disks of a majority the first time it is told.  A leader
        commits older entries only along with one of its own term (figure 8)."""
        machine = station.machine
        if machine.leadership is not None and entries[-1].term != machine.term:
            raise Breach(
                f"{station.me.name} commits {entries[-1].index} of term {entries[-1].term} alone, "
                f"leading in {machine.term}"
            )
        for entry in entries:
            if entry.index <= len(self.committed):
                if self.committed[entry.index - 1] != entry:
                    raise Breach(f"{station.me.name} commits another entry at {entry.index}")
                continue
            if entry.index != len(self.committed) + 1:
                raise Breach(f"{station.me.name} commits {entry.index} after {len(self.committed)}")
            self.on_majority(station, entry)
            self.committed.append(entry)
            self.committed_in.append(machine.term if machine.leadership is not None else entries[-1].term)

    def on_majority(self, station, entry) -> None:
        belonging = station.machine.state.configuration
        have = sum(self.world.disk_term(who, entry.index) in (entry.term, -1) for who in belonging.voters)
        if have < belonging.majority:
            raise Breach(
                f"entry {entry.index} told as committed with {have} disks of {len(belonging.voters)}"
            )

    def applied(self, station, entry, outcome) -> None:
        """Each proposal takes effect once, and the state machine is the same at the same entry."""
        state_machine = station.state_machine
        if entry.proposer and not outcome.is_duplicate and not outcome.rejection:
            key = (entry.proposer, entry.incarnation, entry.number)
            if self.effects.setdefault(key, entry.index) != entry.index:
                raise Breach(f"proposal {key} took effect at {self.effects[key]} and {entry.index}")
        now = state_machine.digest() if entry.index % 8 == 0 else state_machine.parts["toy"].chain
        if self.digests.setdefault(entry.index, now) != now:
            raise Breach(f"books differ at {entry.index}")

    def snapshot(self, state_machine, take) -> None:
        if (state_machine.index, state_machine.term) != (take.index, take.term):
            raise Breach(f"a snapshot is asked for at {take.index}, the book stands at {state_machine.index}")

    # ---- votes and leaders -------------------------------------------------------------------------

    def became(self, station, became) -> None:
        if became.role != "leader":
            return
        if self.leaders.setdefault(became.term, station.me) != station.me:
            raise Breach(f"two leaders in term {became.term}")
        log = station.machine.state.log
        for entry in self.committed[log.base_index :]:
            # One that was stopped may come to lead an old term, while a later one has gone on.
            if self.committed_in[entry.index - 1] < became.term and log.term(entry.index) != entry.term:
                raise Breach(f"{station.me.name} leads term {became.term} without entry {entry.index}")

    def sent(self, station, to, word) -> None:
        kind = type(word)
        if kind is RequestVote and not word.is_pre_vote:
            self.voted(station, word.term, station.me)
        elif kind is RequestVoteResponse and word.vote_granted and not word.is_pre_vote:
            self.voted(station, word.term, to)
        elif kind in (AppendEntries, InstallSnapshot) and self.leaders.get(word.term) != station.me:
            raise Breach(f"{station.me.name} leads unelected in term {word.term}")

    def voted(self, station, term, candidate) -> None:
        """One vote a term, and on the disk before it is told."""
        if self.votes.setdefault((station.me, term), candidate) != candidate:
            raise Breach(f"{station.me.name} votes twice in term {term}")
        ballot = station.disk.hard_state
        if (ballot.term, ballot.vote) != (term, candidate) and ballot.term <= term:
            raise Breach(f"{station.me.name} tells a vote that its disk doesn't hold")

    def asked(self, station, before, sender, word) -> None:
        """Who hears a leader helps nobody against it, except one to whom the leader gives its place."""
        ballot = station.machine.state.hard_state
        if ballot != before and ballot.vote == sender and not word.is_leadership_transfer:
            raise Breach(f"{station.me.name} votes for {sender.name} against a leader that it hears")

    # ---- clients -----------------------------------------------------------------------------------

    def told(self, index) -> None:
        self.acked = max(self.acked, index)

    def read_begins(self, number) -> None:
        self.reads[number] = self.acked

    def read_ends(self, station, readable) -> None:
        began = self.reads.pop(readable.number)
        if readable.is_confirmed and readable.index < began:
            raise Breach(f"a read at {station.me.name} answers {readable.index}, {began} was told before")
