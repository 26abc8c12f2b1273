"""A request inside the body of another, whose length is named as `Content-Length : N`."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit"))
from kit import *

REQUESTS = 20


async def case(folder, trouble):
    site = Site(os.path.join(folder, "record.txt"), "127.61.1", ["lj-a", "lj-b", "kr-a"])
    record = site.record
    for zone in ("lj-a", "lj-b", "kr-a", "nm-a"):
        site.add_engine("app", zone)
    if not await site.start(small_config()):
        print("nodes not ready")
        await site.stop()
        return 2
    sent = {}  # Request-Id -> the body that its requester sent
    statuses = {}
    for number in range(REQUESTS):
        node = site.nodes[number % len(site.nodes)]
        request_id = "id-sent-%02d" % number
        # What the body holds is data for the engine: here, the text of another request.
        body = request_bytes("POST", "/book/inside", "id-inside-%02d" % number, b"two crews")
        sent[request_id] = body
        colon = " :" if trouble else ":"
        head = ("POST /book/outside HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n"
                "Authorization: Bearer %s\r\nContent-Length%s %d\r\n\r\n"
                % (HOST, request_id, KEY, colon, len(body)))
        reader, writer = await site.connect(node)
        writer.write(head.encode() + body)
        record("requester sends", request_id, "to", node.name, "with", "'Content-Length%s %d'" % (colon, len(body)))
        answers = []
        try:
            while True:
                answer = await asyncio.wait_for(read_answer(reader), 1.0)
                if answer.status == 0:
                    break
                answers.append(answer.status)
                record("requester of", request_id, "gets", answer.status, answer.body.decode("latin-1")[:60].strip())
        except asyncio.TimeoutError:
            pass
        writer.close()
        statuses[tuple(answers)] = statuses.get(tuple(answers), 0) + 1
    await site.stop()
    unasked, changed = [], []
    for engine in site.engines:
        for head, body in engine.requests:
            request_id = head.get("Request-Id")
            if request_id not in sent:
                unasked.append(request_id)
                record("UNASKED", engine.id, "ran", request_id, "that no requester sent, as tenant", head.get("Tenant-Id"))
            elif body != sent[request_id]:
                changed.append(request_id)
                record("UNASKED", engine.id, "ran", request_id, "with", len(body), "bytes of body; sent were", len(sent[request_id]))
    print("sent: %d; ran that were inside another: %d; ran with a changed body: %d; answers: %s"
          % (REQUESTS, len(unasked), len(changed), statuses))
    return 1 if unasked or changed else 0


main(case)
