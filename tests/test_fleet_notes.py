"""Remarks in the record: kept in order, bounded, the same after a snapshot."""
import msgspec

from indigohitch.fleet.book import Book
from indigohitch.fleet.notes import KEPT, LONGEST, Note, Notes
from indigohitch.fleet.terms import Entry


def entry(index, text, number=None):
    return Entry(index, 1, "notes.note", msgspec.msgpack.encode(Note(text)), "v1", 1, number or index)


def test_kept_in_order_once_and_equal_after_a_snapshot():
    one, other = Book([Notes()]), Book([Notes()])
    for n in range(1, KEPT + 50):
        one.apply(entry(n, f"remark {n}"))
    doubled = one.apply(entry(KEPT + 50, "again", KEPT + 49))
    assert doubled.doubled and one.parts["notes"].count == KEPT + 49
    assert [k.text for k in one.parts["notes"].kept][-1] == f"remark {KEPT + 49}"
    assert len(one.parts["notes"].kept) == KEPT
    other.restore(one.snapshot())
    for book in (one, other):
        book.apply(entry(KEPT + 51, "after"))
    assert one.digest() == other.digest()


def test_what_is_no_note_changes_nothing():
    book = Book([Notes()])
    assert book.apply(entry(1, "")).refused and book.apply(entry(2, "x" * (LONGEST + 1))).refused
    assert book.parts["notes"].count == 0


def test_the_chain_tells_two_orders_apart():
    one, other = Book([Notes()]), Book([Notes()])
    for book, texts in ((one, "ab"), (other, "ba")):
        for n, text in enumerate(texts, 1):
            book.apply(entry(n, text))
    assert one.parts["notes"].chain != other.parts["notes"].chain
