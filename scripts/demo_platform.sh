# The second half of demo.sh: the node between stand-ins of the users' platform; sourced by it.
# VMs are at $net.51 and $net.52, the store at $net.61, targets at $net.71 and $net.72.

store="http://$net.61:7070/objects"

put_object() { # KIND BODY
  curl -sf -m 5 -o /dev/null -X POST -d "$2" "$store/$1"
}

platform_config() {
  cat <<JSON
{"metadata":{"name":"main"},"spec":{"version":1,"routes":[
  {"name":"book","host":"crews.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1200,
   "target_latency_ms":150,"max_attempts":1,"priority":2,"service":"rota"},
  {"name":"draft","host":"crews.example","path_prefix":"/draft/","kind":"streaming",
   "timeout_ms":4000,"target_latency_ms":250,"max_attempts":2,"priority":0,"stream_resume":true,
   "gap_aim_ms":200,"service":"rota"}],
 "services":[{"name":"rota"}],"tenants":[{"name":"crews","api_keys":["key-crews"]}]}}
JSON
}

start_platform_form() {
  local i
  start store "$bin/standins/standin-store" "$net.61:7070" 7071
  wait_until 20 answers "$store/config"
  put_object config "$(platform_config)"
  for i in 1 2; do
    start "target-$i" "$bin/standins/standin-target" "$net.7$i:8000" 8001 "target-$i"
    put_object servers "{\"metadata\":{\"name\":\"target-$i\"},\"spec\":{\"service\":\"rota\",
      \"address\":\"$net.7$i:8000\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"born\":1}}"
    start "node-$i" "$bin/node/dogwoodplank-node" --name "node-$i" --address "$net.5$i" \
      --data-centre dc-a --caller-listen "$net.5$i:7080" --ready-listen "$net.5$i:7084" \
      --store "$net.61:7070"
  done
  for i in 1 2; do
    wait_until 20 answers "http://$net.5$i:7084/ready"
  done
}

# WHO VM PATH HEADER EXPECTED-STATUS EXPECTED-TEXT
check_node() {
  local code status=0
  code=$(curl -s -m 10 -o "$work/answer" -w '%{http_code}' -X POST -H 'Host: crews.example' \
    -H "Request-Id: demo-$RANDOM" -H "Authorization: Bearer ${7:-key-crews}" -H "$4" \
    "http://$net.5$2:7080$3") || status=1
  { [ "$code" = "$5" ] && grep -q "$6" "$work/answer"; } || status=1
  report "$status" "$1" "$code $(tr '\n' ' ' <"$work/answer" | head -c 60)"
}

run_platform_demo() {
  echo "--- the users' platform: two nodes at $net.51 and $net.52"
  start_platform_form
  check_node 'crew, books a verge' 1 /book/7 'Deadline-Ms: 1000' 200 done
  check_node 'crew, rota draft' 2 /draft/7 'Token-Count: 2900,50' 200 'piece 5'
  curl -sf -o /dev/null -d '{"cut_after":2}' "http://$net.71:8001/fault"
  check_node 'the same, an engine breaks off' 1 /draft/7 'Token-Count: 2900,50' 200 'piece 5'
  check_node 'wrong access key' 2 /book/7 'Deadline-Ms: 1000' 401 unauthorized nobody
}
