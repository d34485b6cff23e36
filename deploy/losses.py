#!/usr/bin/env python3
"""Where requests are lost: reads a day's log lines and counts losses by cause.

    fleetbench run SITE DAY --log all > day.txt
    deploy/losses.py day.txt [--seconds] [--servers] [--json]

Input lines are `TIME INSTANCE {json}`, as the instances write them; others are skipped and
counted. One table by class, then by data centre, and on request by second and by server.
"""

import argparse
import collections
import json
import re
import sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})$")

# The order in which causes are printed: those that lose the whole answer first.
CAUSES = [
    "refused: no server",
    "refused: expected late",
    "refused: waited too long",
    "try not granted",
    "server lost in mid-stream",
    "server silent, caller left",
    "server silent, time over",
    "caller left before the first event",
    "late: after a fault",
    "late: waited for a server",
    "late: known when sent",
    "late: wrong prediction",
    "late: pause",
    "late: plain call",
    "turned away",
]

# An answer counts as known to come late when it was sent if the prediction said so.
WAITED_MS = 100


class CallStory:
    """What the lines say of one request."""

    def __init__(self):
        self.dispatches = []
        self.faults = []
        self.refusal = None

    def cause(self, end, came):
        """Returns why the request was lost; nothing if it was served in time."""
        outcome = end["outcome"]
        begun = end["first_ms"] >= 0
        if outcome in ("streamed", "answered"):
            return self.late_cause(end, came)
        if self.refusal:
            if self.refusal["cause"] == "NoServer":
                return "refused: no server"
            known = self.refusal["expected_ms"] >= 0
            return "refused: expected late" if known else "refused: waited too long"
        if outcome == "stream_broken":
            return "server lost in mid-stream"
        if outcome == "caller_left":
            if begun:
                return "server silent, caller left"
            return "caller left before the first event"
        if outcome == "timed_out":
            return "server silent, time over"
        return "try not granted"

    def late_cause(self, end, came):
        """Returns why a whole answer was late; nothing if it wasn't."""
        late = end.get("late", "")
        if not late:
            return None
        if late == "pause":
            return "late: pause"
        if self.faults:
            return "late: after a fault"
        if not self.dispatches:
            return "late: plain call"
        last = self.dispatches[-1]
        if last["tokens"] == 0:
            return "late: plain call"
        if last["time"] - came > WAITED_MS:
            return "late: waited for a server"
        if last["expected_ms"] > end["target_ms"]:
            return "late: known when sent"
        return "late: wrong prediction"


def read(path):
    """Returns the requests that ended, each with its cause, and how many lines weren't read."""
    stories = collections.defaultdict(CallStory)
    rows, centres, skipped = [], {}, 0
    for line in open(path, encoding="utf-8", errors="replace"):
        match = LINE.match(line.rstrip("\n"))
        if not match:
            continue
        try:
            entry = json.loads(match[3])
        except ValueError:
            skipped += 1
            continue
        instance, event = match[2], entry.get("event")
        entry["time"] = entry.get("at_unix_ms", 0)
        if event == "started":
            centres[instance] = entry.get("data_centre", "?")
        story = stories[entry.get("request")] if "request" in entry else None
        if event == "dispatch":
            story.dispatches.append(entry)
        elif event == "fault":
            story.faults.append(entry)
        elif event == "refusal":
            story.refusal = entry
        elif event == "turned away":
            rows.append((entry, instance, "turned away", story))
        elif event == "end":
            came = entry["time"] - entry["spent_ms"]
            rows.append((entry, instance, story.cause(entry, came), story))
    return rows, centres, skipped


def table(title, rows, key):
    """Prints one table: causes down, keys across."""
    counts = collections.defaultdict(collections.Counter)
    totals = collections.Counter()
    for row in rows:
        name = key(row)
        totals[name] += 1
        if row[2]:
            counts[row[2]][name] += 1
    names = sorted(totals)
    print(f"\n{title:38}" + "".join(f"{name[-12:]:>13}" for name in names) + f"{'all':>9}")
    print(f"{'requests':38}" + "".join(f"{totals[name]:13}" for name in names) + f"{len(rows):9}")
    for cause in CAUSES:
        if cause in counts:
            line = "".join(f"{counts[cause][name]:13}" for name in names)
            print(f"{cause:38}{line}{sum(counts[cause].values()):9}")


def predictions(rows):
    """Prints what was expected against what was seen, by class of the unread tokens."""
    groups = collections.defaultdict(list)
    for end, _, _, story in rows:
        if len(story.dispatches) != 1 or end.get("first_ms", -1) < 0:
            continue
        sent = story.dispatches[0]
        if sent["tokens"] == 0:
            continue
        bound = next(bound for bound in (500, 1000, 3000, 6000, 12000, 10**9) if sent["uncached"] <= bound)
        groups[bound].append((sent["expected_ms"], end["first_ms"]))
    print(f"\n{'first event, ms, by unread tokens':38}{'requests':>9}{'expected':>10}{'seen':>8}{'seen p90':>10}{'too low by half':>17}")
    for bound, pairs in sorted(groups.items()):
        seen = sorted(pair[1] for pair in pairs)
        low = sum(1 for expected, first in pairs if expected < first / 2)
        mean = sum(pair[0] for pair in pairs) / len(pairs)
        name = f"up to {bound}" if bound < 10**9 else "more"
        print(f"{name:38}{len(pairs):9}{mean:10.0f}{sum(seen) / len(seen):8.0f}{seen[len(seen) * 9 // 10]:10}{low / len(pairs):17.2f}")


def main():
    """Reads the file and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", help="the output of a day that was played with --log all")
    parser.add_argument("--seconds", action="store_true", help="also by two seconds of the day")
    parser.add_argument("--servers", action="store_true", help="also by the server last used")
    arguments = parser.parse_args()
    try:
        rows, centres, skipped = read(arguments.file)
    except OSError as fault:
        sys.exit(f"{fault}; play the day with `--log all` and send its output to a file")
    if not rows:
        sys.exit("no request ended in this file; play the day with `--log all`")
    table("by class", rows, lambda row: row[0].get("class", "?"))
    table("by data centre", rows, lambda row: centres.get(row[1], row[1]))
    if arguments.seconds:
        start = min(row[0]["time"] for row in rows)
        table("by second", rows, lambda row: f"{(row[0]['time'] - start) // 2000 * 2:04}")
    if arguments.servers:
        last = lambda row: row[3].dispatches[-1]["server"] if row[3].dispatches else "none"
        table("by server", rows, last)
    predictions(rows)
    if skipped:
        print(f"\n{skipped} lines weren't whole and were skipped")


if __name__ == "__main__":
    main()
