#!/usr/bin/env python3
"""What each mechanism of the router is worth: days with it, and with it switched off.

    deploy/ablate.py --bench FLEETBENCH SITE.toml... [--seeds 11,22] [--days A,B] [--jobs 4]

Each mechanism is switched off by the `router:` section of the instance file, one at a time,
in a scratch copy of this checkout, which is built once. Days are the standard ones of the
site files, no processor time is charged, so that a run mostly repeats. Prints a Markdown
table: for each site the mean worth with everything, and for each mechanism the mean of what
is lost without it, with the standard error over the paired days and seeds.
"""

import argparse
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

# What switches each mechanism off. The figures are beyond any that a day reaches.
SWITCHES = {
    "taking shared parts over": "least_fetch: 1000000000",
    "weight of rereading": "reread_weight: 0",
    "lanes of long and short prompts": "long_prompt: 4000000000",
    "lanes that follow targets": "tight_long_part: 0.6",
    "lanes that follow short demand": "short_fill: 1000000",
    "peers' loads": "peer_life: 0ms",
    "peers' word of silent servers": "rumour_silence: 1000s",
    "refusing what would come late": "admit_factor: 1000000",
    "breaking off where servers are silent": "shortest_patience: 1000s",
    "no work for silent servers": "silence: 1000s, long_silence: 1000s",
    "no work for failing servers": "ejected_part: 0",
    "pause of full servers": "full_pause: 0ms",
    "cost of being turned away": "refused_cost_ms: 0",
    "cost of running requests": "running_cost_ms: 0",
    "cost of other data centres": "far_cost_ms: 0",
    "further tries": "send_limit: 1",
}

INSTANCE_FILE = pathlib.Path("platform/instance.yaml")


def days_of(site):
    """Returns the names of a site's standard days."""
    blocks = pathlib.Path(site).read_text().split("[[day]]")[1:]
    return [re.search(r'^name = "(.+)"', block, re.M)[1] for block in blocks]


class Laboratory:
    """A scratch copy in which days are played."""

    def __init__(self, arguments, folder):
        self.arguments = arguments
        self.folder = pathlib.Path(folder)
        source = pathlib.Path(__file__).resolve().parent.parent
        subprocess.run(["git", "clone", "-q", str(source), str(folder)], check=True)
        if (source / "target").exists():
            shutil.copytree(source / "target", self.folder / "target")
        self.plain = (self.folder / INSTANCE_FILE).read_text()
        self.bench("build")

    def bench(self, *words):
        """Calls the bench in the copy."""
        command = [self.arguments.bench, *words]
        return subprocess.run(command, cwd=self.folder, capture_output=True, text=True)

    def play(self, site, day, seed, why):
        """Plays one day. Returns its worth; nothing if a rule was broken."""
        with tempfile.NamedTemporaryFile(suffix=".json") as report:
            self.bench(
                "run", site, day, "--seed", seed, "--no-cpu",
                "--report", report.name, "--why", why,
            )
            try:
                result = json.load(report)
            except ValueError:
                return None
        return None if result["breaks"] or result["fault"] else result["G"]

    def worths(self, mechanism, switch):
        """Returns the worth of each day and seed with a switch."""
        line = f"router: {{{switch}}}\n" if switch else ""
        (self.folder / INSTANCE_FILE).write_text(self.plain + line)
        plays = [
            (site, day, seed)
            for site in self.arguments.sites
            for day in self.arguments.days or days_of(site)
            for seed in self.arguments.seeds
        ]
        why = f"ablation: without {mechanism}" if switch else "ablation: with everything"
        with ThreadPoolExecutor(self.arguments.jobs) as pool:
            return dict(zip(plays, pool.map(lambda play: self.play(*play, why), plays)))


def cell(site, whole, without):
    """Returns what is lost without a mechanism on a site."""
    pairs = [(whole[play], without[play]) for play in whole if play[0] == site]
    kept = [one - other for one, other in pairs if one is not None and other is not None]
    broken = len(pairs) - len(kept)
    if not kept:
        return "no day kept the rules"
    error = statistics.stdev(kept) / len(kept) ** 0.5 if len(kept) > 1 else 0
    text = f"{statistics.mean(kept):+.4f} ± {error:.4f}"
    return text + (f" ({broken} days broken)" if broken else "")


def main():
    """Plays the table and prints it."""
    words = lambda text: text.split(",")
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--seeds", type=words, default=["11", "22"])
    parser.add_argument("--days", type=words, help="all standard days if left out")
    parser.add_argument("--jobs", type=int, default=4, help="days at once")
    parser.add_argument("sites", nargs="+", metavar="SITE.toml")
    arguments = parser.parse_args()
    arguments.sites = [str(pathlib.Path(site).resolve()) for site in arguments.sites]
    arguments.bench = str(pathlib.Path(arguments.bench).resolve())
    for path in [arguments.bench, *arguments.sites]:
        if not pathlib.Path(path).exists():
            sys.exit(f"{path} isn't there; give the bench and site files by their paths")
    with tempfile.TemporaryDirectory() as folder:
        laboratory = Laboratory(arguments, pathlib.Path(folder) / "copy")
        whole = laboratory.worths("", "")
        names = [pathlib.Path(site).stem for site in arguments.sites]
        print("| without | " + " | ".join(names) + " |")
        print("|---|" + "---|" * len(names))
        means = [
            statistics.mean(worth for play, worth in whole.items() if play[0] == site and worth)
            for site in arguments.sites
        ]
        print("| (mean worth with everything) | " + " | ".join(f"{mean:.3f}" for mean in means) + " |", flush=True)
        for mechanism, switch in SWITCHES.items():
            without = laboratory.worths(mechanism, switch)
            cells = [cell(site, whole, without) for site in arguments.sites]
            print(f"| {mechanism} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
