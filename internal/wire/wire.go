// Package wire maps the deployment's protocols to the core's terms: the JSON
// bodies of users, workers, the cloud and the state service. It is the only
// place where the protocols' words stand. There is one type for each message;
// each is mapped once, by a Parse function for what comes in and a Request or
// Encode function for what goes out.
//
// It owns no state and does no input or output. It may assume that a body is at
// most MaxBody long, and nothing of what it holds. It promises that what it
// parses is complete and within its bounds or refused, that a response which
// cannot be understood has an unknown outcome, and that what it writes is
// within the length that a worker reads. It is built for bodies that are cut
// short, of the wrong types, nested without end or full of unknown fields.
//
// The core's terms and the protocols' words:
//
//	users             job ID                   ref
//	                  class                    flock
//	                  team                     crew
//	                  kind                     shape
//	                    array                    sweep
//	                    service                  standing
//	                    gang                     gang
//	                  priority                 rank
//	                    low                      low
//	                    normal                   standard
//	                    high                     high
//	                    production               production
//	                  number of tasks          chicks
//	                  GPUs                     cards
//	                  image, its size          plumage, size_gb
//	                  machine types            hulls
//	                  zone                     marsh
//	                  in one zone              same_place
//	                  spot                     driftwood
//	                  run time estimate        swim_s
//	                  checkpoint interval      surface_s
//	                  checkpoint duration      preen_s
//	                  deadline                 dusk_s
//	                  job state                stance
//	                    cancelled                withdrawn
//	                  cancel                   abort
//	workers           machine, its type        berth, hull
//	                  zone, spot               marsh, driftwood
//	                  incarnation              dive
//	                  sequence number          tally
//	                  fencing token            baton
//	                  termination notice       ebb_s
//	                  task, tasks              chick, chicks
//	                  attempt                  try
//	                  task state               stance
//	                    waiting (for a gang)     gathering
//	                    exited                   ended
//	                  exit reason              cause
//	                    no_room                  full
//	                    busy                     in_use
//	                    peers                    mates_gone
//	                    alone                    incomplete
//	                  checkpointed             kept
//	                  command, commands        call, calls
//	                    start                    launch
//	                    stop, its grace period   halt, slack_s
//	                    forget                   clear
//	                  redirect target          harbor
//	state service     key, value, its revision k, v, mark
//	                  store's revision         tide
//	                  lease, its TTL           mooring (in paths: holds), life_ms
//	                  renew a lease            extend
//	                  preconditions            guards
//	                  changes                  then
//	                  keys and values          items
//	                  events of a watch        log
//	                  duration of a watch      hold_ms
//	                  start after, revision    from
//	cloud             instance, instances      ref, berths (in paths: rentals)
//	                  type, zone, spot         hull, marsh, driftwood
//	                  instance state           stance
//	                    booting                  starting
//	                  age                      held_s
//	                  name of a type           sku
//	                  types, zones             hulls, marshes
//	                  GPUs, image cache        cards, local_gb
//	                  image fetch rate         pull_gb_per_s
//	                  price, spot price        hourly, market_price
//	                  boot time                ready_s
//	                  idempotency key          charter
//	                  count                    how_many
package wire

// MaxBody bounds the body of a request in bytes.
const MaxBody = 64 << 10

// pageSize is the number of items to list at a time.
const pageSize = 500

// Request is an HTTP request to a service, a worker or another controller.
type Request struct {
	Method, Path string
	Body         []byte
}
