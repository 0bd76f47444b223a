"""Operators' configuration files of sidecars and coordinators, with one directive a line.

`words` parses words and units, `lines` has the reader, `sidecar_file` and `operator_file` say what either
file may contain, `routes` has the route table, `checks` what must hold across lines, `fleet` the fleet's
directives.

A feature of the fleet adds its directives from a file of its own, as `seats` does:

    def on_seats(line, rest, reader):           # line number, the words after the first, lines.Reader
        name = reader.parse("seats", words.name, rest[0])
        reader.declare(line, "seats", name)     # a ValueError is a mistake of this line
        options = reader.options(line, rest[1:], {"for": words.span})    # reports mistakes, leaves them out
        reader.collected(FleetText).parts.setdefault("seats", []).append(Contract(name, options, line))

    def check(reader):                          # runs once all lines are read; reader.report(line, why)
        ...

    VOCABULARY = Vocabulary({"seats": on_seats}, checks=(check,))

and an entry in `further.py`.  Objects that are appended have an attribute `line`.  Words that refer to names
declared by other words go into `deferred`, which is handled after all other lines.  Values of `wait X` and
`limit X` are declared by the vocabulary's `waits` and `limits` and read with `reader.values_of("wait",
WAITS)`. The option `seat` of an RPC is in `reader.collected(texts.SidecarText).seats`: feature and line by
the RPC's name.
"""
