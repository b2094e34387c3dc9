// Package wire maps the deployment's protocols to the core's terms: the JSON
// bodies of users, workers, the cloud and the state service. It is the only
// package that contains the protocols' words. There is one type for each
// message, which is mapped in one place: by a Parse function if it is inbound,
// and by a Request or Encode function if it is outbound.
//
// The package owns no state and does no input or output. It assumes that a body
// is at most MaxBody long, and makes no assumption about its content.
//
// It guarantees that a parsed message is complete and within its bounds, or is
// refused. A response that cannot be parsed has an unknown outcome. An encoded
// message is within the length that a worker reads. The package handles bodies
// that are truncated, of the wrong types, deeply nested or full of unknown
// fields.
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

// pageSize is the maximum number of items in one page of a list.
const pageSize = 500

// Request is an HTTP request to a service, a worker or another controller.
type Request struct {
	Method, Path string
	Body         []byte
}
