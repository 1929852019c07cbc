#!/usr/bin/env python3
"""Writes a copy of a site file with a larger fleet and a proportionally larger workload.

    scale_site.py SITE.toml OUT.toml --fleet 3.4 [--state 2.0] [--cores 2.0] [--memory 2.5] [--sockets 2.5]

`--fleet` multiplies machine counts, team quotas and arrival rates; the other factors multiply the limits of the
state service, the cloud and the controllers. The site's `wire.json` is copied to the folder of OUT unless one is
there. The jobs themselves, the service-level objectives and the faults (but for their `write_rps`) stay the same.
"""
import argparse
import pathlib
import re
import shutil

# The factor that applies to each key, by table.
SCALED = {
    "capacity": {"count": "fleet", "spot": "fleet"},
    "teams": {"gpus": "fleet", "gpus_max": "fleet", "cpus": "fleet", "cpus_max": "fleet"},
    "jobs": {"rate": "fleet", "initial": "fleet"},
    "pipelines": {"rate": "fleet", "initial": "fleet"},
    "state": {"rps": "state", "write_rps": "state"},
    "cloud": {"rps": "state"},
    "nodes": {"cpu_share": "cores", "memory_mb": "memory", "max_connections": "sockets"},
}
# Faults that lower the state service's limits scale with `--state`.
SCALED_FAULTS = {"write_rps": "state"}


def scale_number(key, number, factor):
    value = float(number) * factor
    whole = "." not in number or key in ("count", "spot", "initial", "max_connections")
    return str(round(value)) if whole else f"{value:.4f}"


def scale_line(line, table, factors):
    keys = SCALED_FAULTS if table == "day" else SCALED.get(table, {})
    for key, factor in keys.items():
        pattern = rf"(?<![\w]){key} = (\d+(?:\.\d+)?)"
        line = re.sub(
            pattern,
            lambda m: f"{key} = {scale_number(key, m[1], factors[factor])}",
            line,
        )
    return line


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    for name, default in (("fleet", 3.4), ("state", 1.0), ("cores", 1.0), ("memory", 1.0), ("sockets", 2.5)):
        parser.add_argument(f"--{name}", type=float, default=default)
    arguments = parser.parse_args()
    factors = vars(arguments)
    table = ""
    lines = []
    for line in arguments.site.read_text().splitlines():
        header = re.match(r"\[+([\w.]+)\]+", line)
        table = header[1].split(".")[0] if header else table
        line = scale_line(line, table, factors)
        if line.startswith("name = ") and table == "":
            line = line[:-1] + f"-{arguments.out.stem}\""
        lines.append(line)
    arguments.out.write_text("\n".join(lines) + "\n")
    wire = arguments.out.parent / "wire.json"
    if not wire.exists():
        shutil.copy(arguments.site.parent / "wire.json", wire)


if __name__ == "__main__":
    main()
