"""Start settings as a coordinator gets them, for the deployments that the cases play."""


def lower_mainland(slices, proxies):
    """Returns the settings of a small deployment like lower-mainland: exclusive slices, two coordinators."""
    return {
        "balancers": 2,
        "slot-no": 0,
        "zone": "burnaby",
        "service-type": "control",
        "discovery": "ask",
        "period": 2.0,
        "failure-domains": ["burnaby", "surrey", "richmond"],
        "kinds": ["small-std"],
        "weight-kind": "none",
        "value-by": "request",
        "bounds": {
            "connect-timeout": 250.0,
            "cpu-us-per-s": 400000,
            "keepalive": 15000.0,
            "max-streams": 100,
            "may-probe": True,
            "may-tell": False,
        },
        "classes": [
            {
                "name": "rate-lookup",
                "aim": 1200.0,
                "deadline": 4000.0,
                "importance": 1.0,
                "late-worth": 0.2,
                "repeat": "read_like",
                "dedup-scope": "all",
                "memory-span": 5000.0,
            },
            {
                "name": "book-commit",
                "aim": 800.0,
                "deadline": 1200.0,
                "importance": 5.0,
                "late-worth": 0.2,
                "repeat": "non_idempotent",
                "dedup-scope": "all",
                "memory-span": 5000.0,
            },
        ],
        "family-info": {
            "admission": "share",
            "class-own-zone": [False, False],
            "class-writes": [False, True],
            "cost-per-line": 0.04,
            "counted-over": 10000.0,
            "data-plane-size": proxies,
            "default-retry": 0,
            "egress-per-s": 40000.0,
            "empty-for": 7700.0,
            "envelope": 8.0,
            "exclusive": True,
            "fails-to-eject": 0,
            "homed-by-zone": False,
            "initial-set": 6,
            "keeps-writing": 4000.0,
            "key-ranges": slices,
            "lb-method": "two",
            "messages-most": 0,
            "push-delay-max": 470.0,
            "queue-cap": 60000.0,
            "reassign-price": 0.005,
            "report-every": 1000.0,
            "reports-per-s": 750.0,
            "settle": 1220.0,
            "sockets-min": 562.0,
            "transit": 300.0,
            "try-aims": 1.0,
            "waits-for-table": 300.0,
            "warm-keys": True,
        },
        "penalties": {"connection": 0.02, "cross-zone": 0.01, "probe": 0.02, "waste": 0.05},
        "report": {"columns": ["cpu_share", "busy_reqs", "svc_ms"], "how": "probe"},
        "result-mix": {"whole": 0.55, "worst-window": 0.2, "worst-class": 0.1, "tail": 0.15},
        "rules": {
            "cold-from": 0.16,
            "drain-grace": 2000.0,
            "fall-multiple": 3.0,
            "must-ask-in": 10000.0,
            "overload-for": 1500.0,
            "warm-within": 17000.0,
        },
    }


def windhoek_central(slices, proxies):
    """Returns the settings of a small deployment like windhoek-central: shared slices, two coordinators."""
    settings = lower_mainland(slices, proxies)
    classes = [
        ("search-open", 1200.0, 4000.0, 2.0, "read_like"),
        ("place-detail", 750.0, 2500.0, 1.0, "read_like"),
        ("reserve-place", 500.0, 1500.0, 5.0, "non_idempotent"),
    ]
    settings["classes"] = [
        {
            "name": name,
            "aim": aim,
            "deadline": deadline,
            "importance": worth,
            "late-worth": 0.2,
            "repeat": repeat,
        }
        for name, aim, deadline, worth, repeat in classes
    ]
    settings["failure-domains"] = ["klein-windhoek", "katutura", "olympia"]
    settings["zone"] = "klein-windhoek"
    settings["kinds"] = ["std-3core"]
    settings["weight-kind"] = "nominal"
    settings["family-info"] |= {
        "admission": "none",
        "class-own-zone": [False, False, False],
        "class-writes": [False, False, True],
        "default-retry": 1,
        "egress-per-s": 7500.0,
        "empty-for": 5000.0,
        "envelope": 16.0,
        "exclusive": False,
        "fails-to-eject": 5,
        "keeps-writing": 800.0,
        "lb-method": "weighted",
        "push-delay-max": 330.0,
        "queue-cap": 15000.0,
        "reassign-price": 0.02,
        "settle": 1520.0,
        "transit": 200.0,
        "waits-for-table": 500.0,
    }
    settings["report"] = {"columns": [], "how": "none"}
    settings["rules"] |= {"drain-grace": 1500.0, "overload-for": 3000.0}
    return settings


def whk_placements(slices, proxies, coordinators):
    """Returns the settings of a small deployment like whk-placements: proxies that judge no backend."""
    settings = windhoek_central(slices, proxies)
    classes = [
        ("vacancy-search", 2000.0, 6000.0, 2.0, "read_like"),
        ("centre-info", 1200.0, 4000.0, 1.0, "read_like"),
        ("place-reserve", 1200.0, 3000.0, 2.0, "non_idempotent"),
    ]
    settings["classes"] = [
        {"name": name, "aim": aim, "deadline": deadline, "importance": worth, "repeat": repeat}
        for name, aim, deadline, worth, repeat in classes
    ]
    settings["balancers"] = coordinators
    settings["failure-domains"] = ["eros", "olympia", "prosperita", "klein-whk"]
    settings["zone"] = "eros"
    settings["kinds"] = ["std-6core"]
    settings["weight-kind"] = "rough"
    settings["family-info"] |= {
        "admission": "share",
        "default-retry": 0,
        "egress-per-s": 12000.0,
        "empty-for": 7700.0,
        "fails-to-eject": 0,
        "keeps-writing": 4000.0,
        "lb-method": "two",
        "messages-most": 12,
        "push-delay-max": 765.0,
        "queue-cap": 19700.0,
        "report-every": 2000.0,
        "settle": 3020.0,
        "transit": 306.0,
        "waits-for-table": 200.0,
    }
    settings["report"] = {"columns": ["pending", "svc_ms"], "how": "answers"}
    settings["rules"] |= {"drain-grace": 3000.0, "fall-multiple": 4.0, "overload-for": 2000.0}
    settings["rules"] |= {"warm-within": 15000.0, "full-may-have-run": True}
    return settings


def oshakati_north(slices, proxies, coordinators):
    """Returns the settings of a small deployment like oshakati-north: forwarders let all in."""
    settings = windhoek_central(slices, proxies)
    classes = [
        ("place-lookup", 1200.0, 4000.0, 3.0, "read_like"),
        ("waitlist-join", 750.0, 2000.0, 9.0, "idempotency_key"),
    ]
    settings["classes"] = [
        {"name": name, "aim": aim, "deadline": deadline, "importance": worth, "repeat": repeat}
        | {"dedup-scope": "cell", "memory-span": 2000.0}
        for name, aim, deadline, worth, repeat in classes
    ]
    settings["balancers"] = coordinators
    settings["failure-domains"] = ["oshakati", "ongwediva", "ondangwa"]
    settings["zone"] = "oshakati"
    settings["kinds"] = ["std-5core"]
    settings["family-info"] |= {
        "class-own-zone": [False, False],
        "class-writes": [False, True],
        "default-retry": 0,
        "egress-per-s": 6800.0,
        "envelope": 8.0,
        "fails-to-eject": 3,
        "push-delay-max": 360.0,
        "queue-cap": 10000.0,
        "settle": 2020.0,
        "waits-for-table": 300.0,
    }
    settings["report"] = {"columns": ["cpu_share", "served_ps"], "how": "answers"}
    settings["rules"] |= {"cold-from": 0.2, "drain-grace": 3000.0, "overload-for": 1500.0}
    settings["rules"] |= {"warm-within": 13000.0}
    return settings
