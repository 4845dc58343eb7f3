#!/usr/bin/env python3
"""Measures from router logs how many requests reach an endpoint over the load bound.

Reads RequestFinished events (JSON, one object a line; any text before the object is skipped) of all routers of a fleet
from standard input or files. Rebuilds the requests in flight on each endpoint of a service and prints, for each window,
the share of placements on an endpoint that held more than FACTOR times the mean of the service plus SLACK, and what the
routers knew when they placed these. Requests without a log line are missing from the loads.
"""
import argparse
import collections
import fileinput
import json

FINISHED = 2020


def parse(lines, service):
    """Returns the placements of a service, as (start ms, end ms, endpoint, event), sorted by start."""
    placements = []
    for line in lines:
        at = line.find('{"at_ms"')
        if at < 0 or f'"event":{FINISHED}' not in line:
            continue
        try:
            event = json.loads(line[at:])
        except ValueError:
            continue
        if event.get("service") != service or not event.get("endpoint"):
            continue
        end = event["at_ms"]
        start = end - event["ms"] + max(0, event.get("placed_ms", 0))
        placements.append((start, end, event["endpoint"], event))
    return sorted(placements, key=lambda p: p[:3])


def annotate(placements, endpoints):
    """Adds to each placement the load of its endpoint just before it, and the mean of the service."""
    edges = [(start, 1, i) for i, (start, _, _, _) in enumerate(placements)]
    edges += [(end, 0, i) for i, (_, end, _, _) in enumerate(placements)]
    loads = collections.Counter()
    total = 0
    out = [None] * len(placements)
    for _, starts, i in sorted(edges):
        endpoint = placements[i][2]
        if starts:
            out[i] = (loads[endpoint], total / endpoints)
        loads[endpoint] += 1 if starts else -1
        total += 1 if starts else -1
    return out


def describe(over):
    """Returns what the routers knew when they placed requests over the bound, by cause."""
    prompts = collections.Counter(event.get("prompt", "") for event, _, _ in over)
    kinds = collections.Counter()
    ages = collections.Counter()
    for event, load, mean in over:
        kinds["home" if event["at_home"] else "holder" if event["held"] else "other"] += 1
        age = event.get("report_age_ms", -1)
        ages["none" if age < 0 else "<1s" if age < 1000 else "<3s" if age < 3000 else "<10s" if age < 10000 else "older"] += 1
    top = prompts.most_common(3)
    estimates = sorted(event.get("estimate_tenths", 0) / 10 for event, _, _ in over)
    loads = sorted(load for _, load, _ in over)
    middle = len(over) // 2
    return (f"prompts {len(prompts)} top {[n for _, n in top]} placed {dict(kinds)} report age {dict(ages)} "
            f"median estimate {estimates[middle]:.1f} true load {loads[middle]}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("files", nargs="*")
    parser.add_argument("--service", required=True)
    parser.add_argument("--endpoints", type=int, help="endpoints of the service; default: those in the log")
    parser.add_argument("--factor", type=float, default=2.0)
    parser.add_argument("--slack", type=float, default=3.0)
    parser.add_argument("--window", type=float, default=5.0, help="seconds")
    parser.add_argument("--step", type=float, default=1.0, help="seconds between the starts of two windows")
    args = parser.parse_args()
    placements = parse(fileinput.input(args.files), args.service)
    if not placements:
        raise SystemExit("no placements in the log")
    endpoints = args.endpoints or len({p[2] for p in placements})
    views = annotate(placements, endpoints)
    first = placements[0][0]
    last = placements[-1][0]
    print(f"{len(placements)} placements on {endpoints} endpoints in {(last - first) / 1000:.1f} s")
    start = first
    while start < last:
        window = [(p[3], *v) for p, v in zip(placements, views) if start <= p[0] < start + args.window * 1000]
        over = [w for w in window if w[1] > args.factor * w[2] + args.slack]
        share = len(over) / max(1, len(window))
        mean = sum(w[2] for w in window) / max(1, len(window))
        print(f"{(start - first) / 1000:6.1f} s: {len(over):5d} of {len(window):6d} over, {100 * share:5.2f} %, mean load {mean:.2f}"
              + (f"; {describe(over)}" if over else ""))
        start += args.step * 1000


if __name__ == "__main__":
    main()
