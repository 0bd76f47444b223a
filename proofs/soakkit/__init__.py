"""A soak of real coordinators: each has a platform of its own in a worker process, which injects faults and
judges what the proxies would have done."""
