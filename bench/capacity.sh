# Control cost of an idle node by the number of nodes.
source "$(dirname "$0")/common.sh"
counts="${counts:-2 4 8 16 32}"
load_time=50ms
for nodes in $counts; do
  start_standins "$nodes"
  for i in $(seq 1 "$nodes"); do start_node $i; done
  for i in $(seq 1 "$nodes"); do wait_ready $i; done
  publish_one
  sleep 4
  total() { local i sum=0; for i in 1 2; do sum=$(calc "$sum + $(counter $i "$1")"); done; calc "$sum / 2"; }
  cpu=$(total cpu_seconds_total); log_read=$(total log_bytes_read_total); log_write=$(total log_bytes_appended_total); news=$(total gossip_bytes_sent_total)
  reads=$(total log_reads_total); sent=$(total gossip_sent_total)
  sleep 10
  echo "cpu_share_$nodes=$(calc "($(total cpu_seconds_total) - $cpu) * 10") percent"
  echo "log_read_$nodes=$(calc "($(total log_bytes_read_total) - $log_read) / 10") B_a_second"
  echo "log_write_$nodes=$(calc "($(total log_bytes_appended_total) - $log_write) / 10") B_a_second"
  echo "news_sent_$nodes=$(calc "($(total gossip_bytes_sent_total) - $news) / 10") B_a_second"
  echo "log_reads_$nodes=$(calc "($(total log_reads_total) - $reads) / 10") a_second"
  echo "messages_sent_$nodes=$(calc "($(total gossip_sent_total) - $sent) / 10") a_second"
  echo "bytes_second_$nodes=$(calc "(($(total log_bytes_read_total) - $log_read) + ($(total log_bytes_appended_total) - $log_write) + 2 * ($(total gossip_bytes_sent_total) - $news)) / 1e4") KB"
  echo "resident_$nodes=$(calc "$(total resident_bytes) / 1e6") MB"
  # Idle clusters may end at once: nothing of theirs is kept.
  while read -r pid name; do kill -KILL "$pid"; done < "$run/pids"
  rm -f "$run/pids"
  wait 2> /dev/null || true
done
