"""Engines of two software versions serve side by side; their versions are image digests of 83
characters. Engines crash, and their streams go on at others."""
import hashlib
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from kit import *  # noqa: E402,F403

VERSIONS = ["rota-engine@sha256:" + hashlib.sha256(name).hexdigest()
            for name in (b"old", b"new")]
if os.environ.get("SHORT") == "1":  # the same with 60 characters, for comparison
    VERSIONS = [version[:60] for version in VERSIONS]
STREAMS = 90
INTERVAL = 0.24


async def case(record):
    cluster = Cluster(3)
    cluster.servers = [Engine(cluster, f"i-{i}", VERSIONS[i % 2], record=record)
                       for i in range(4)]
    streams, tasks = [], []

    async def one(number):
        item = Stream(cluster, number, record)
        streams.append(item)
        await item.run()

    async def crashes():
        """One of the four engines at a time (share 0.25) is down for 2 s."""
        for i in range(3):
            await asyncio.sleep(4)
            engine = cluster.servers[i]
            record(f"{engine.ident} crashes, with {len(engine.writers)} channels")
            engine.crash()
            await asyncio.sleep(2)
            await engine.restart(engine.ident + "-again")
            record(f"{engine.ident} starts")

    try:
        await cluster.start(config())
        await asyncio.sleep(1)
        if disrupted():
            tasks.append(asyncio.create_task(crashes()))
        for i in range(STREAMS):
            tasks.append(asyncio.create_task(one(i)))
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(*tasks)
        return order_broken(streams, record)
    finally:
        await cluster.stop()


main(case, HERE / "record.txt")
