# Measures the CPU time, log and gossip traffic, and memory of an idle node for clusters of different sizes.
source "$(dirname "$0")/common.sh"
counts="${counts:-2 4 8 16 32}" # Numbers of nodes.
load_time=50ms
for nodes in $counts; do
  start_standins "$nodes"
  for i in $(seq 1 "$nodes"); do start_node $i; done
  for i in $(seq 1 "$nodes"); do wait_nodes_ready $i; done
  publish_bench_services
  sleep 4
  # mean_counter NAME: mean of a counter over nodes 1 and 2
  mean_counter() { local i sum=0; for i in 1 2; do sum=$(calc "$sum + $(counter_value $i "$1")"); done; calc "$sum / 2"; }
  cpu=$(mean_counter cpu_seconds_total); log_read=$(mean_counter log_bytes_read_total); log_write=$(mean_counter log_bytes_appended_total); gossip_sent=$(mean_counter gossip_bytes_sent_total)
  reads=$(mean_counter log_reads_total); messages_sent=$(mean_counter gossip_sent_total)
  sleep 10
  # Averages over 10 s, except for resident. CPU seconds in 10 s, times 10, are percent of one core. bytes_second counts gossip
  # twice, as sent and as received; 1e4 converts bytes in 10 s to KB per second.
  echo "cpu_share_$nodes=$(calc "($(mean_counter cpu_seconds_total) - $cpu) * 10") percent"
  echo "log_read_$nodes=$(calc "($(mean_counter log_bytes_read_total) - $log_read) / 10") B/s"
  echo "log_write_$nodes=$(calc "($(mean_counter log_bytes_appended_total) - $log_write) / 10") B/s"
  echo "news_sent_$nodes=$(calc "($(mean_counter gossip_bytes_sent_total) - $gossip_sent) / 10") B/s"
  echo "log_reads_$nodes=$(calc "($(mean_counter log_reads_total) - $reads) / 10") 1/s"
  echo "messages_sent_$nodes=$(calc "($(mean_counter gossip_sent_total) - $messages_sent) / 10") 1/s"
  echo "bytes_second_$nodes=$(calc "(($(mean_counter log_bytes_read_total) - $log_read) + ($(mean_counter log_bytes_appended_total) - $log_write) + 2 * ($(mean_counter gossip_bytes_sent_total) - $gossip_sent)) / 1e4") KB"
  echo "resident_$nodes=$(calc "$(mean_counter resident_bytes) / 1e6") MB"
  # SIGKILL is safe here: the state of an idle cluster is not needed afterwards.
  while read -r pid name; do kill -KILL "$pid"; done < "$run/pids"
  rm -f "$run/pids"
  wait 2> /dev/null || true
done
