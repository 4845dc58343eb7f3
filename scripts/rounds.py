#!/usr/bin/env python3
"""Plays days of a deployment on the users' bench with several seeds and tells
the mean worth, its spread, and where it is lost.

    scripts/rounds.py BENCH SITE --why TEXT [--days D,D] [--seeds 1,2,3]
                      [--no-cpu] [--jobs 4] [--json FILE] [--against FILE]

Needs the users' kit; not part of the tests. --against pairs the runs with
those of another round's --json by day and seed.
"""
import argparse
import concurrent.futures
import json
import math
import statistics
import subprocess
import sys
import tempfile

TROUBLE_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
LEAST_PRICE = 0.0005  # of a day's worth; smaller ones are left out of the table


def play(args, day, seed):
    """One day; its report, or what the bench said instead."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--jobs", "1", "--report", report.name, "--why", args.why]
        if args.no_cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = report.read()
        if not text:
            sys.exit(f"{day} seed {seed}: {done.stdout[-800:]}{done.stderr[-800:]}")
        return json.loads(text)


def summary(report):
    """What a round keeps of a day."""
    return {
        "worth": report["G"],
        "parts": {name: value for name, _, value in report["parts"]},
        "prices": {name: lost for name, _, lost in report["prices"]},
        "classes": {c["name"]: c["worth"] for c in report["classes"]},
        "breaks": report["breaks"],
        "fault": report["fault"],
        "unserved": {u[0]: u[1] for u in report["unserved_by"]},
        "all": report["all"],
    }


def mean_by(rows, key):
    """The mean over days of each entry of a table that days hold."""
    names = {name for row in rows for name in row[key]}
    return {n: sum(row[key].get(n, 0) for row in rows) / len(rows) for n in names}


def spread(values):
    return statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else 0.0


def tell(results, against):
    days = sorted({key.split("@")[0] for key in results})
    for day in days:
        own = [r["worth"] for key, r in results.items() if key.split("@")[0] == day]
        print(f"{day:<12} worth {statistics.mean(own):.4f}  +- {spread(own):.4f}  {' '.join(f'{w:.3f}' for w in own)}")
    rows = list(results.values())
    worths = [r["worth"] for r in rows]
    print(f"{'all':<12} worth {statistics.mean(worths):.4f}  +- {spread(worths):.4f}  {len(worths)} days")
    if against:
        paired = [r["worth"] - against[key]["worth"] for key, r in results.items() if key in against]
        if paired:
            print(f"{'paired':<12} gain  {statistics.mean(paired):+.4f}  +- {spread(paired):.4f}  {len(paired)} pairs")
    print("parts       ", "  ".join(f"{n} {v:.4f}" for n, v in sorted(mean_by(rows, 'parts').items())))
    print("kinds       ", "  ".join(f"{n} {v:.4f}" for n, v in sorted(mean_by(rows, 'classes').items())))
    prices = sorted(mean_by(rows, "prices").items(), key=lambda p: -p[1])
    print("prices      ", "  ".join(f"{n} {v:.4f}" for n, v in prices if v >= LEAST_PRICE))
    unserved = sorted(mean_by(rows, "unserved").items(), key=lambda p: -p[1])
    print("not served  ", "  ".join(f"{n} {v:.1f}" for n, v in unserved))
    for key, r in results.items():
        if r["breaks"] or r["fault"]:
            print(f"BROKEN {key}: {r['breaks']} {r['fault'] or ''}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=TROUBLE_DAYS)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json")
    parser.add_argument("--against")
    args = parser.parse_args()
    plays = [(day, int(seed)) for day in args.days.split(",") for seed in args.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        reports = list(pool.map(lambda p: play(args, *p), plays))
    results = {f"{day}@{seed}": summary(report) for (day, seed), report in zip(plays, reports)}
    against = None
    if args.against:
        with open(args.against, encoding="utf-8") as file:
            against = json.load(file)
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(results, file)
    tell(results, against)


if __name__ == "__main__":
    main()
