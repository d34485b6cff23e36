#!/usr/bin/env python3
"""Plays the regression on the users' bench and compares it with a committed table.

    deploy/regress.py --bench PROGRAM --sites FOLDER [--jobs N] [--only NAME ...]

The table (deploy/regress.json) has, for each site file below FOLDER, the score that was reached, or
for each of its days the worth where a whole score takes too long. Whatever falls by more than 0.03,
fails its gate or couldn't be played is said, and makes the exit status 1. What `--only` leaves out
is said too.
"""

import argparse
import json
import re
import subprocess
import sys
from pathlib import Path

# A change below this is noise, as processor time is measured.
NOISE = 0.03

TABLE = Path(__file__).with_name("regress.json")


def play(arguments):
    """Returns what the bench prints; nothing if it fails without a word."""
    done = subprocess.run(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    return done.stdout


def score(bench, site, jobs):
    """Plays a site's standard days. Returns its score and whether its gate was passed."""
    why = "regression against deploy/regress.json"
    text = play([bench, "score", site, "--jobs", str(jobs), "--why", why])
    found = re.search(r"^score on .*?: ([0-9.]+)", text, re.M)
    return (float(found[1]) if found else None), "GATE passed" in text


def worth(bench, site, day):
    """Plays one day. Returns its worth and whether it kept all rules."""
    why = "regression against deploy/regress.json"
    text = play([bench, "run", site, day, "--jobs", "1", "--why", why])
    found = re.search(r"^worth ([0-9.-]+) =", text, re.M)
    broken = "BROKEN" in text or "short of the gate" in text
    return (float(found[1]) if found else None), not broken


def judge(name, reached, now, passed):
    """Prints a row. Returns whether it holds."""
    if now is None:
        print(f"{name:45} NOT PLAYED (reached {reached:.3f})")
        return False
    fell = reached - now > NOISE
    verdict = "FELL" if fell else "held"
    gate = "" if passed else ", GATE FAILED"
    print(f"{name:45} {now:.3f} (reached {reached:.3f}) {verdict}{gate}", flush=True)
    return passed and not fell


def main():
    """Plays all that the table names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--sites", required=True, type=Path, help="the folder of the site files")
    parser.add_argument("--jobs", type=int, default=3, help="days at a time; large ones play alone")
    parser.add_argument("--only", nargs="*", help="parts of names of site files to play")
    given = parser.parse_args()
    holds = True
    for site, reached in json.loads(TABLE.read_text()).items():
        path = str(given.sites / site)
        if given.only and not any(part in site for part in given.only):
            print(f"{site:45} left out, as asked")
            continue
        if not Path(path).exists():
            print(f"{site:45} NOT PLAYED: no such file below {given.sites}")
            holds = False
        elif isinstance(reached, dict):
            for day, before in reached.items():
                holds &= judge(f"{site} {day}", before, *worth(given.bench, path, day))
        else:
            holds &= judge(site, reached, *score(given.bench, path, given.jobs))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
