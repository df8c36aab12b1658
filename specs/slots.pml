/* Slots: grants that expire, a change of home, paused holders and homes.
 *
 * One backend server in cold start, which can carry LIMIT requests. Two holders ask its home for
 * a slot; at some time another node becomes the home. Time passes in ticks; messages take any
 * time and may be lost; a pause is a node that does nothing while ticks pass.
 *
 * Properties
 *   cold      No more than LIMIT requests run at the server at once.
 *   closed    Once the server has been closed (zone out, leaving, withdrawn) and accepted for
 *             the horizon and the lifetime of a grant, no request is sent to it.
 *
 * Scenarios: the home changes (the default), the server closes (-DCLOSING).
 * Seeded mistakes: -DSKIP_WAIT -DSKIP_REPORTS -DANY_REPORT -DTRUST_HELD -DNO_LAST_CHECK
 * -DTTL_FROM_RECEIPT -DKEEP_GRANTING
 */

#define HOLDERS 2
#define HOMES 2
#define LIMIT 1
#define TTL 1		/* ticks from when the request was sent */
#define HORIZON 1	/* ticks for which a node may act on the revision before */
#define RUN 2		/* ticks that a request runs at most */
#define LATE TTL	/* age of a message at which its grant has ended */

/* Holder side: limits::slot::Holder. */
byte slots[HOLDERS];		/* granted */
byte left[HOLDERS];		/* ticks until the grant ends */
byte using[HOLDERS];		/* newest grant received */
byte asked[HOLDERS];		/* number of the newest request */
bool knows[HOLDERS];		/* has learnt of the second home */
bool uses_new[HOLDERS];		/* the newest grant received is the second home's */
bool permit[HOLDERS];		/* acquired, not yet sent */
byte stands[HOLDERS];		/* ticks for which the permit stands: those of its own grant */
byte running[HOLDERS];		/* ticks that the request may still run; 0 when none */

/* Requests under way: home and report. A new one takes the place of one that is lost. */
bool request[HOLDERS];
byte request_to[HOLDERS];
byte request_using[HOLDERS];
bool request_held[HOLDERS];
bool request_new[HOLDERS];	/* confirms a grant of the second home */
byte request_age[HOLDERS];

/* Answers under way. */
bool answer[HOLDERS];
byte answer_number[HOLDERS];
byte answer_slots[HOLDERS];
byte answer_age[HOLDERS];
bool answer_new[HOLDERS];	/* from the second home */

/* Home side: limits::slot::Home. Grants by holder: bit k stands for an unconfirmed grant of a
 * slot under request k. */
byte granted[HOMES * HOLDERS];
bool held[HOMES * HOLDERS];
byte heard[HOMES * HOLDERS];	/* ticks for which the last word still counts */
byte confirmed_using[HOLDERS];	/* newest grant that a report to the second home has named */
bool confirmed[HOLDERS];	/* a grant of the second home, and with it all work in flight */

bool moved;			/* the second home's revision is accepted */
byte old_left;			/* ticks for which the first home may not know it */
bool handing;			/* the first home has handed over; it grants no more */
bool handed;			/* the second home has taken over */
byte carried[HOLDERS];		/* the first home's charge of a holder, as the request answered, or 0 */
byte answered[HOLDERS];		/* newest request that the first home answered */
bool settled;			/* the second home knows that it is accepted */
byte wait;			/* ticks until the second home may grant */
byte silent;			/* ticks until unreported work has ended */
bool closed;
byte closed_left;		/* ticks until nothing may be sent */

byte i, load, free;

#define AT(h, x) ((h) * HOLDERS + (x))
#define CHARGE(h, x) ((heard[AT(h, x)] > 0 && (held[AT(h, x)] || granted[AT(h, x)] != 0)) -> 1 : 0)
#define CLOSED_FOR_HOME (closed && closed_left <= TTL)

inline count_load() {
	load = 0; i = 0;
	do
	:: i < HOLDERS ->
		if
		:: running[i] > 0 -> load++
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Holder::requests_due: a report and a wish; the grant's time counts from here. */
inline ask(x, h) {
	asked[x]++;
	request[x] = true; request_to[x] = h;
	request_using[x] = using[x]; request_held[x] = (running[x] > 0 || permit[x]);
	request_new[x] = uses_new[x]; knows[x] = (h == 1);
	request_age[x] = 0
}

/* Allocator::is_ready and Allocator::may_have_unreported_work for the second home; view::View::may_start for the first. */
#define ALL_CONFIRMED (confirmed[0] && confirmed[1])
#ifdef SKIP_WAIT
#define MAY_GRANT_SECOND settled
#else
#ifdef SKIP_REPORTS
#define MAY_GRANT_SECOND (settled && wait == 0)
#else
#define MAY_GRANT_SECOND (handed || settled && (ALL_CONFIRMED || silent == 0))
#endif
#endif
#ifdef KEEP_GRANTING
#define HANDED_OVER false
#else
#define HANDED_OVER handing
#endif
#define MAY_GRANT(h) (((h) == 0 && !HANDED_OVER && (!moved || old_left > 0)) || ((h) == 1 && MAY_GRANT_SECOND))

/* A report counts once it confirms a grant of this home: before that, its sender may still
 * start work under a grant of the home before. */
#ifdef ANY_REPORT
#define CONFIRMS(x) true
#else
#define CONFIRMS(x) request_new[x]
#endif

/* Home::request. */
inline grant(x) {
	i = AT(request_to[x], x);
	free = 0;
	held[i] = request_held[x];
	heard[i] = TTL + RUN + 1;
#ifdef TRUST_HELD
	granted[i] = 0;
#else
	/* Lease::record_report: grants older than the one in use are forgotten. */
	granted[i] = granted[i] & ~((1 << request_using[x]) - 1);
#endif
	if
	:: request_to[x] == 1 && CONFIRMS(x) -> confirmed[x] = true
	:: else
	fi;
	if
	:: request_to[x] == 1 && !handed -> confirmed_using[x] = request_using[x]
	:: else
	fi;
	/* Allocator::allocate. */
	if
	:: MAY_GRANT(request_to[x]) && !CLOSED_FOR_HOME && CHARGE(request_to[x], 1 - x) < LIMIT -> free = 1
	:: else
	fi;
	if
	:: free -> granted[i] = granted[i] | (1 << asked[x])
	:: else
	fi;
	if
	:: request_to[x] == 0 && !handing -> answered[x] = asked[x]
	:: else
	fi;
	answer[x] = true; answer_number[x] = asked[x];
	answer_slots[x] = free; answer_age[x] = request_age[x];
	answer_new[x] = (request_to[x] == 1);
	request[x] = false; request_to[x] = 0; request_using[x] = 0;
	request_held[x] = false; request_new[x] = false; request_age[x] = 0;
	i = 0; free = 0
}

/* Core::handle_grant, Holder::grant: an answer counts if it is newer than the one in use and comes
 * from the home that the holder knows. */
inline receive(x) {
	if
	:: answer_number[x] > using[x] && (answer_new[x] || !knows[x]) ->
		using[x] = answer_number[x]; uses_new[x] = answer_new[x];
		slots[x] = answer_slots[x];
#ifdef TTL_FROM_RECEIPT
		left[x] = TTL
#else
		left[x] = (answer_age[x] < TTL -> TTL - answer_age[x] : 0)
#endif
	:: else
	fi;
	answer[x] = false; answer_number[x] = 0; answer_slots[x] = 0; answer_age[x] = 0; answer_new[x] = false
}

/* Permit::check, last thing before bytes leave. */
#ifdef NO_LAST_CHECK
#define STANDS(x) true
#else
#define STANDS(x) (stands[x] > 0)
#endif

inline send(x) {
	permit[x] = false;
	if
	:: STANDS(x) ->
		assert(!(closed && closed_left == 0));
		running[x] = RUN + 1;
		count_load();
		assert(load <= LIMIT);
		load = 0
	:: else
	fi;
	stands[x] = 0
}

/* Core::hand_over, Allocator::hand_over: the first home learns the change and tells what it knows. */
inline hand_over() {
	handing = true;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: CHARGE(0, i) == 1 -> carried[i] = answered[i]
		:: else
		fi;
		answered[i] = 0;
		granted[AT(0, i)] = 0; held[AT(0, i)] = false; heard[AT(0, i)] = 0;
		i++
	:: else -> break
	od;
	i = 0
}

/* Allocator::take_over, Lease::add_earlier_grant: a charge counts until its holder confirms a newer grant. */
inline take_over() {
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: carried[i] > 0 && !(heard[AT(1, i)] > 0 && confirmed_using[i] > carried[i]) ->
			granted[AT(1, i)] = granted[AT(1, i)] | (1 << carried[i]);
			heard[AT(1, i)] = TTL + RUN + 1
		:: else
		fi;
		carried[i] = 0;
		i++
	:: else -> break
	od;
	i = 0;
	handed = true
}

#define DOWN(v) v = (v > 0 -> v - 1 : 0)
#define UP(v) v = (v < LATE -> v + 1 : v)

/* Allocator::remove_expired. */
#define FORGET(h, x) \
	if \
	:: heard[AT(h, x)] == 0 -> granted[AT(h, x)] = 0; held[AT(h, x)] = false \
	:: else \
	fi

inline tick() {
	i = 0;
	do
	:: i < HOLDERS ->
		DOWN(left[i]);
		if
		:: left[i] == 0 -> slots[i] = 0
		:: else
		fi;
	 DOWN(running[i]); DOWN(stands[i]);
		if
		:: request[i] -> UP(request_age[i])
		:: else
		fi;
		if
		:: answer[i] -> UP(answer_age[i])
		:: else
		fi;
		DOWN(heard[AT(0, i)]); DOWN(heard[AT(1, i)]);
		FORGET(0, i); FORGET(1, i);
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: moved -> DOWN(old_left)
	:: else
	fi;
	if
	:: settled -> DOWN(wait); DOWN(silent)
	:: else
	fi;
	if
	:: closed -> DOWN(closed_left)
	:: else
	fi
}

#define HOLDER(x, requests) \
	:: d_step { asked[x] < requests && !knows[x] -> ask(x, 0) } \
	MOVED(:: d_step { moved && asked[x] < requests -> ask(x, 1) }) \
	:: d_step { request[x] -> grant(x) } \
	:: d_step { answer[x] -> receive(x) } \
	/* Holder::acquire. */ \
	:: d_step { !permit[x] && running[x] == 0 && slots[x] > 0 && left[x] > 0 -> permit[x] = true; stands[x] = left[x] } \
	:: d_step { permit[x] -> send(x) } \
	/* Holder::release. */ \
	:: d_step { running[x] > 0 -> running[x] = 0 }

/* Two scenarios, each checked alone: the server closes, or its home changes. */
#ifndef REQUESTS
#define REQUESTS 2	/* requests of the first holder */
#endif
#ifdef CLOSING
#define MOVED(action)
#else
#define MOVED(action) action
#endif

active proctype world() {
end:	do
	:: d_step { tick() }
#ifdef CLOSING
	:: d_step { !closed -> closed = true; closed_left = HORIZON + TTL }
#else
	/* The change of home is accepted; the first home learns it within the horizon. */
	:: d_step { !moved -> moved = true; old_left = HORIZON }
	:: d_step { moved && !handing -> hand_over() }
	:: d_step { handing && !handed -> take_over(); confirmed_using[0] = 0; confirmed_using[1] = 0 }
	/* Home::assign and Home::mark_accepted at the second home. */
	:: d_step { moved && !settled -> settled = true; wait = TTL + HORIZON; silent = TTL + HORIZON + RUN }
#endif
	HOLDER(0, REQUESTS)
	HOLDER(1, 2)
	od
}
