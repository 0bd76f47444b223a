"""The operator's files, of a sidecar and of a coordinator: one directive a line, in the manner of classic
daemons.  `words` has words and units, `lines` the reader, `sidecar_file` and `operator_file` what either may
say, `routes` the table of routes, `checks` what holds across lines, `fleet` the fleet's directives.

A further part of the fleet adds directives of its own from a file of its own, as `seats`:

    def on_seats(at, rest, reader):             # line's number, the words after the first, lines.Reader
        name = reader.told("seats", words.name, rest[0])
        reader.once(at, "seats", name)          # ValueError tells a mistake of this line
        told = reader.options(at, rest[1:], {"for": words.span})    # tells each mistake, leaves out the bad
        reader.found(FleetText).parts.setdefault("seats", []).append(Contract(name, told, at))

    def check(reader):                          # once all lines are read; reader.wrong(line, why)
        ...

    VOCABULARY = Vocabulary({"seats": on_seats}, checks=(check,))

and one entry in `further.py`.  What is appended has an attribute `line`.  Words that name what others give
go into `last`, which is read when all other lines are.  Values of `wait X` and `limit X` are given by the
vocabulary's `waits` and `limits`, read with `reader.picked("wait", WAITS)`.  What an RPC's option `seat`
names is in `reader.found(sidecar_file.Carried).seats`: (feature, line) by RPC's name."""
