#!/usr/bin/env python3
"""Runs days of a deployment on the users' bench with several seeds. Prints the
mean worth, its standard error, and the causes of losses.

    scripts/rounds.py BENCH SITE --why TEXT [--days D,D] [--seeds 1,2,3]
                      [--no-cpu] [--jobs 4] [--json FILE] [--against FILE]

Requires the users' kit; not part of the tests. --against compares the runs, by
day and seed, with those that an earlier call wrote with --json.
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
MIN_PRICE = 0.0005  # fraction of a day's worth; smaller prices are not printed


def run_day(args, day, seed):
    """Runs one day and returns its report. Exits with the bench's output if there is no report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--jobs", "1", "--report", report.name, "--why", args.why]
        if args.no_cpu:
            command.append("--no-cpu")
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        text = report.read()
        if not text:
            sys.exit(f"{day} seed {seed}: {completed.stdout[-800:]}{completed.stderr[-800:]}")
        return json.loads(text)


def summarize(report):
    """Returns the parts of a day's report that are compared and stored."""
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
    """Returns the mean over all rows of each entry of the table row[key]."""
    names = {name for row in rows for name in row[key]}
    return {n: sum(row[key].get(n, 0) for row in rows) / len(rows) for n in names}


def standard_error(values):
    return statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else 0.0


def print_results(results, against):
    days = sorted({key.split("@")[0] for key in results})
    for day in days:
        day_worths = [r["worth"] for key, r in results.items() if key.split("@")[0] == day]
        print(f"{day:<12} worth {statistics.mean(day_worths):.4f}  +- {standard_error(day_worths):.4f}  {' '.join(f'{w:.3f}' for w in day_worths)}")
    rows = list(results.values())
    all_worths = [r["worth"] for r in rows]
    print(f"{'all':<12} worth {statistics.mean(all_worths):.4f}  +- {standard_error(all_worths):.4f}  {len(all_worths)} days")
    if against:
        paired = [r["worth"] - against[key]["worth"] for key, r in results.items() if key in against]
        if paired:
            print(f"{'paired':<12} gain  {statistics.mean(paired):+.4f}  +- {standard_error(paired):.4f}  {len(paired)} pairs")
    print("parts       ", "  ".join(f"{n} {v:.4f}" for n, v in sorted(mean_by(rows, 'parts').items())))
    print("kinds       ", "  ".join(f"{n} {v:.4f}" for n, v in sorted(mean_by(rows, 'classes').items())))
    prices = sorted(mean_by(rows, "prices").items(), key=lambda p: -p[1])
    print("prices      ", "  ".join(f"{n} {v:.4f}" for n, v in prices if v >= MIN_PRICE))
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
    runs = [(day, int(seed)) for day in args.days.split(",") for seed in args.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        reports = list(pool.map(lambda run: run_day(args, *run), runs))
    results = {f"{day}@{seed}": summarize(report) for (day, seed), report in zip(runs, reports)}
    against = None
    if args.against:
        with open(args.against, encoding="utf-8") as file:
            against = json.load(file)
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(results, file)
    print_results(results, against)


if __name__ == "__main__":
    main()
