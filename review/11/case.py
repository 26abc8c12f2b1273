"""The store comes back from a copy some seconds old while all machines lose their processes.
Requesters take up their streams; a stream may go on only at the version that began it."""
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from kit import *  # noqa: E402,F403

STREAMS = 14
AWAY = 0.3  # seconds without the store, and until the processes start again


async def case(record):
    cluster = Cluster(3)
    cluster.servers = [Engine(cluster, f"i-old{i}", "v1", record=record, events=70)
                       for i in range(3)]
    streams, tasks = [], []

    async def one(number):
        item = Stream(cluster, number, record, tries=1, wait=0.5)
        streams.append(item)
        await item.run()

    try:
        await cluster.start(config())
        await asyncio.sleep(4)
        copy = cluster.store.snapshot()
        record(f"the store is copied at revision {copy[1]}")
        await asyncio.sleep(0.3)
        record("the first two engines of version v2 start")
        for i in range(2):
            engine = Engine(cluster, f"i-new{i}", "v2", record=record, events=70)
            cluster.servers.append(engine)
            await engine.start()
        for i in range(STREAMS):
            tasks.append(asyncio.create_task(one(i)))
            await asyncio.sleep(0.2)
        # Whatever the engines wrote last before the store went away is lost with the rest; they
        # write again within heartbeat_ms (1,200), as before.
        await asyncio.sleep(0.9)
        if disrupted():
            record("the store is away, and all machines are killed")
            cluster.store.up = False
            for node in cluster.nodes:
                await node.kill()
            for task in list(cluster.store.tasks):
                task.cancel()
            await asyncio.sleep(AWAY)
            await cluster.store.restore(copy)
            cluster.store.up = True
            record(f"the store is back from its copy, Store-Era {cluster.store.era}; "
                   "the processes start again")
            for node in cluster.nodes:
                await node.start()
        await asyncio.gather(*tasks)
        return order_broken(streams, record)
    finally:
        await cluster.stop()


main(case, HERE / "record.txt")
