"""Steps of coordination.feature."""

import itertools
from dataclasses import dataclass, field

import msgspec
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st
from steps.shared import DETERMINISTIC, ByteChoices

from berylpost.errors import BerylpostError, PlatformError
from berylpost.fakes.memory import CallFault, MemoryObjects
from berylpost.journal import FencedError, Journal
from berylpost.lease import Lease
from berylpost.writer import ABSENT, ConditionalWriter, Verdict, read_object

LEASE_S = 10.0
FAULTS = (
    *[CallFault.NONE] * 5,
    CallFault.REFUSED,
    CallFault.LOST_BEFORE,
    CallFault.LOST_AFTER,
    CallFault.LATE,
)
# Opening a journal takes several calls; with more faults few writers get to append.
RARE_FAULTS = (*[CallFault.NONE] * 11, *FAULTS)
CLOCK_RATES = (0.95, 1.0, 1.05)


@dataclass
class LeaseSimulation:
    """Three lease holders that share a store, each with a clock of its own rate."""

    choices: ByteChoices
    now: float = 100.0
    depth: int = 0
    faults_enabled: bool = True
    holder_by_epoch: dict[int, str] = field(default_factory=dict)
    shared_epochs: list[str] = field(default_factory=list)
    overlaps: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = MemoryObjects(
            choose_fault=self.choose_fault, interleave=self.interleave
        )
        self.leases = [
            Lease(
                objects=self.store,
                key="lease",
                holder=f"h{n}",
                duration_s=LEASE_S,
                clock=lambda clock_rate=clock_rate: self.now * clock_rate,
                pause=lambda seconds: self.advance(seconds),
            )
            for n, clock_rate in enumerate(CLOCK_RATES)
        ]
        self.in_call = [False] * len(self.leases)

    def choose_fault(self, _kind: str) -> CallFault:
        if not self.faults_enabled:
            return CallFault.NONE
        return FAULTS[self.choices.take() % len(FAULTS)]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.check_overlap()

    def interleave(self) -> None:
        """In a call: advances time, applies delayed writes or runs another holder."""
        if not self.faults_enabled:
            return
        choice = self.choices.take()
        if choice % 4 == 1:
            self.advance((choice >> 2) / 8)
        if choice % 4 == 2:
            self.store.apply_delayed_writes()
        if choice % 4 == 3 and self.depth < 2:
            self.use_lease(choice >> 2)

    def use_lease(self, choice: int) -> None:
        """Lets one holder acquire or renew the lease and records its epoch."""
        number = choice % len(self.leases)
        if self.in_call[number]:
            return  # this holder is in the middle of a call, in the same thread
        self.in_call[number] = True
        self.depth += 1
        try:
            lease = self.leases[number]
            if lease.try_hold():
                holder = self.holder_by_epoch.setdefault(lease.epoch, f"h{number}")
                if holder != f"h{number}":
                    self.shared_epochs.append(
                        f"epoch {lease.epoch}: {holder} and h{number}"
                    )
            self.check_overlap()
        finally:
            self.depth -= 1
            self.in_call[number] = False

    def check_overlap(self) -> None:
        held = [f"h{n}" for n, lease in enumerate(self.leases) if lease.is_held()]
        if len(held) > 1:
            self.overlaps.append(f"at {self.now}: {held}")

    def run(self) -> bool:
        """Runs all choices, then continues without faults until the lease is held.

        Returns:
            Whether a holder acquired the lease within two lease terms.
        """
        while not self.choices.is_exhausted():
            choice = self.choices.take()
            if choice % 8 == 0:
                self.advance((choice >> 3) / 2)
            elif choice % 8 == 1:
                self.store.apply_delayed_writes()
            else:
                self.use_lease(choice >> 1)
        self.faults_enabled = False
        self.store.apply_delayed_writes()
        end = self.now + 2 * LEASE_S
        while self.now < end:
            for number in range(len(self.leases)):
                self.use_lease(number)
            if any(lease.is_held() for lease in self.leases):
                return True
            self.advance(LEASE_S / 10)
        return False


@when("{n:d} interleavings of 3 lease holders are run")
def run_leases(context: Context, n: int) -> None:
    context.epoch_counts = []
    without_holder = []

    @settings(DETERMINISTIC, max_examples=n)
    @generate(st.binary(min_size=0, max_size=60))
    def run(data: bytes) -> None:
        simulation = LeaseSimulation(choices=ByteChoices(data))
        if not simulation.run():
            without_holder.append(data)
        assert not simulation.shared_epochs, simulation.shared_epochs
        assert not simulation.overlaps, simulation.overlaps
        assert not without_holder, without_holder
        context.epoch_counts.append(len(simulation.holder_by_epoch))

    run()
    context.n_interleavings = n


@then("no epoch was ever held by two holders")
def check_epochs(context: Context) -> None:
    # The property is asserted in each run; this checks that the runs were made and had
    # contention.
    assert len(context.epoch_counts) >= context.n_interleavings * 0.9, len(
        context.epoch_counts
    )
    assert sum(1 for n_epochs in context.epoch_counts if n_epochs > 1) > 500


@then("no two holders considered the lease theirs at the same instant")
@then("after the faults a holder acquired the lease within 2 lease terms")
def check_runs(context: Context) -> None:
    assert context.epoch_counts


class WriterSimulation:
    """Two writers that append to one object, each to the value that it last read."""

    def __init__(self, choices: ByteChoices) -> None:
        self.choices = choices
        self.depth = 0
        self.now = 0.0
        self.effects: list[str] = []
        self.verdicts: dict[str, Verdict] = {}
        self.store = MemoryObjects(
            choose_fault=lambda _k: FAULTS[choices.take() % len(FAULTS)],
            interleave=self.interleave,
        )
        self.names = itertools.count()
        self.in_call = [False, False]
        self.writers = [
            ConditionalWriter(
                objects=self.store,
                writer=f"w{n}",
                patience_s=1.0,
                clock=lambda: self.now,
                pause=self.pause,
            )
            for n in range(2)
        ]

    def pause(self, seconds: float) -> None:
        self.now += seconds * 4

    def interleave(self) -> None:
        choice = self.choices.take()
        if choice % 3 == 1:
            self.store.apply_delayed_writes()
        if choice % 3 == 2 and self.depth < 2:
            self.append_write(choice >> 2)

    def append_write(self, choice: int) -> None:
        number = choice % 2
        if self.in_call[number]:
            return
        self.in_call[number] = True
        self.depth += 1
        try:
            seen = read_object(self.store, "x")
            previous_writes = msgspec.json.decode(seen.open()) if seen.envelope else []
            name = f"w{number}.{next(self.names)}"
            value = msgspec.json.encode([*previous_writes, name])
            outcome = self.writers[number].write("x", value, over=seen)
            self.verdicts[name] = outcome.verdict
        except PlatformError:
            pass
        finally:
            self.depth -= 1
            self.in_call[number] = False

    def read_effects(self) -> list[str]:
        """Returns the writes that took effect; each value contains all earlier ones."""
        self.store.apply_delayed_writes()
        if "x" not in self.store.values:
            return []
        self.store.choose_fault = lambda _k: CallFault.NONE
        self.store.interleave = lambda: None
        value = read_object(self.store, "x").open()
        assert value is not None
        return list(msgspec.json.decode(value))


@when("{n:d} interleavings of 2 racing writers are run")
def run_writers(context: Context, n: int) -> None:
    context.verdicts = []

    @settings(DETERMINISTIC, max_examples=n)
    @generate(st.binary(min_size=4, max_size=60))
    def run(data: bytes) -> None:
        simulation = WriterSimulation(ByteChoices(data))
        while not simulation.choices.is_exhausted():
            simulation.append_write(simulation.choices.take())
        effects = simulation.read_effects()
        for name, verdict in simulation.verdicts.items():
            if verdict in (Verdict.WRITTEN, Verdict.SUPERSEDED):
                assert effects.count(name) == 1, (name, verdict, effects)
            if verdict is Verdict.NOT_WRITTEN:
                assert name not in effects, (name, effects)
            context.verdicts.append(verdict)

    run()


@then("every write reported as written or superseded took effect exactly once")
def check_written(context: Context) -> None:
    # The property is asserted in each run; this checks that all four verdicts occurred.
    assert set(context.verdicts) == set(Verdict), set(context.verdicts)


@then("no write reported as not written ever took effect")
def check_not_written(context: Context) -> None:
    assert context.verdicts.count(Verdict.NOT_WRITTEN) > 100


@given("a store where the next write is {fault}")
def make_faulty_store(context: Context, fault: str) -> None:
    faults = iter([CallFault(fault)])
    context.store = MemoryObjects(
        choose_fault=lambda kind: (
            next(faults, CallFault.NONE) if kind == "write" else CallFault.NONE
        ),
    )


@when("a value is written to an absent key")
def write_value(context: Context) -> None:
    writer = ConditionalWriter(
        objects=context.store,
        writer="w",
        pause=lambda _s: context.store.apply_delayed_writes(),
    )
    context.outcome = writer.write("x", b"1", over=ABSENT)


@then("the verdict is {verdict}")
def check_verdict(context: Context, verdict: str) -> None:
    assert context.outcome.verdict == Verdict(verdict), context.outcome


def make_journal(store: MemoryObjects, writer: str, segment_bytes: int) -> Journal:
    return Journal(
        objects=store,
        prefix="j",
        writer=writer,
        segment_bytes=segment_bytes,
        patience_s=0.0,
    )


def read_journal(store: MemoryObjects) -> list[bytes]:
    """Reads all entries as a new owner, with a higher epoch than all others."""
    store.choose_fault = lambda _k: CallFault.NONE
    store.interleave = lambda: None
    return make_journal(store, "reader", 1 << 20).open(epoch=1_000_000)


@when("{n:d} interleavings of 2 journal writers are run")
def run_journals(context: Context, n: int) -> None:
    context.counts = {"acked": 0, "fenced": 0, "doubt": 0}

    @settings(DETERMINISTIC, max_examples=n)
    @generate(st.binary(min_size=8, max_size=60))
    def run(data: bytes) -> None:
        choices = ByteChoices(data)
        store = MemoryObjects(
            choose_fault=lambda _k: RARE_FAULTS[choices.take() % len(RARE_FAULTS)]
        )
        journals = [make_journal(store, f"w{n}", 60) for n in range(2)]
        opened = [False, False]
        acked: list[bytes] = []
        fenced: list[bytes] = []
        epoch = 0

        def open_or_append(choice: int) -> None:
            nonlocal epoch
            number = choice % 2
            if not opened[number] or choice % 16 > 12:
                epoch += 1
                try:
                    journals[number].open(epoch=epoch)
                    opened[number] = True
                except (BerylpostError, PlatformError):
                    opened[number] = False
                return
            entry = b"%d.%d" % (number, next(names))
            try:
                journals[number].append([entry])
                acked.append(entry)
            except FencedError:
                fenced.append(entry)
                opened[number] = False
            except BerylpostError:
                context.counts["doubt"] += 1
                opened[number] = False

        names = itertools.count()
        while not choices.is_exhausted():
            choice = choices.take()
            if choice % 5 == 0:
                store.apply_delayed_writes()
            open_or_append(choice)
        store.apply_delayed_writes()
        found = read_journal(store)
        assert len(found) == len(set(found)), found
        assert set(acked) <= set(found), (acked, found)
        assert not set(fenced) & set(found), (fenced, found)
        context.counts["acked"] += len(acked)
        context.counts["fenced"] += len(fenced)

    run()


@then("every acknowledged entry is in the journal exactly once")
def check_acked(context: Context) -> None:
    assert context.counts["acked"] > 1_000, context.counts


@then("no entry that was refused as fenced is in the journal")
def check_fenced(context: Context) -> None:
    assert context.counts["fenced"] > 100, context.counts


@given("a journal that owner A has opened with epoch 1")
def open_journal(context: Context) -> None:
    context.store = MemoryObjects()
    context.a = make_journal(context.store, "a", 1 << 16)
    context.a.open(epoch=1)
    context.a.append([b"first"])


@when("A is paused before its append and owner B opens it with epoch 2")
def pause_and_open(context: Context) -> None:
    b = make_journal(context.store, "b", 1 << 16)

    def take_over() -> None:
        context.store.interleave = lambda: None
        context.seen_by_b = b.open(epoch=2)

    context.store.interleave = take_over
    context.error = None
    try:
        context.a.append([b"late"])
    except FencedError as error:
        context.error = error


@then("the append of A is refused as fenced")
def check_refused(context: Context) -> None:
    assert isinstance(context.error, FencedError)


@then("the journal contains only the entries that B read")
def check_seen(context: Context) -> None:
    assert context.seen_by_b == [b"first"] == read_journal(context.store)


@given("a journal with segments of {n:d} bytes")
def make_segmented(context: Context, n: int) -> None:
    context.store = MemoryObjects()
    context.journal = make_journal(context.store, "a", n)
    context.journal.open(epoch=1)


@when("{n:d} entries of {size:d} bytes are appended in batches of {batch:d}")
def append_entries(context: Context, n: int, size: int, batch: int) -> None:
    context.entries = [
        msgspec.msgpack.encode(["i", float(i), "x" * (size - 14)]) for i in range(n)
    ]
    for part in (
        itertools.batched(context.entries, batch)
        if hasattr(itertools, "batched")
        else [context.entries[i : i + batch] for i in range(0, n, batch)]
    ):
        context.journal.append(list(part))


@then("it has {n:d} segments and no value over {size:d} bytes")
def check_segments(context: Context, n: int, size: int) -> None:
    assert len(context.store.values) == n, len(context.store.values)
    assert max(len(value) for _, value in context.store.values.values()) <= size


@then("a new owner reads the {n:d} entries in order")
def check_entries(context: Context, n: int) -> None:
    assert len(context.entries) == n
    assert read_journal(context.store) == context.entries


@then(
    "dropping entries older than entry {first:d} leaves the others up to {n:d} readable"
)
def check_dropped(context: Context, first: int, n: int) -> None:
    assert context.journal.drop_segments(keep_from=float(first)) > 0
    left = read_journal(context.store)
    assert set(context.entries[first:n]) <= set(left)
    assert len(left) < n
