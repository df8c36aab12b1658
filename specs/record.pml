/* Run records: a call that may not be repeated, across nodes, deaths and lost answers.
 *
 * Two nodes are sent the same idempotency key. Each start of a node may claim the key a few
 * times. A write travels on its own: it may take effect at any later time, also after its sender
 * has given up or died, and its answer may be lost.
 *
 * Properties
 *   at most once   The call starts to run at a backend server at most once.
 *   not run        A sender that was told "not run" has caused no run, then or later.
 *   stored         A stored outcome is given only for a call that ran.
 *
 * Seeded mistakes: -DINSERT_AFTER_DISPATCH -DTRUST_LOST_ANSWER -DBLIND_SWEEP -DNOT_RUN_ON_TIMEOUT
 */

#define NODES 2
#define STARTS 2		/* starts of each node */
#define CLAIMS 2		/* claims of each start */
#define NAMES (NODES * STARTS * CLAIMS)

/* The row. `row_name` names the claim: node, start and number; it is the row's revision too. */
#define UNKNOWN 1
#define STORED 2

mtype = { absent, claimed, ended };
mtype row = absent;
byte row_name;
bool row_stored;

/* Writes under way, by claim. */
bool inserting[NAMES];
bool deleting[NAMES];
byte ending[NAMES];		/* UNKNOWN or STORED */

/* What really happened. */
byte runs;			/* runs at backend servers */
bool travelling[NAMES];		/* dispatched, and not yet run or lost */
byte ran = NAMES;		/* claim that ran, if any */

mtype = { idle, inserted, reading, ticket, sent, done };
mtype state[NODES] = idle;
byte begun[NODES];		/* starts so far, less one */
byte claim[NODES];		/* number of the newest claim of this start */
bool orphan[NODES];		/* a claim of this start was given up undispatched */
byte swept[NODES];		/* number that a sweep has read, or 0 */
bool answered[NODES];		/* the insert's answer is at hand */
bool answer_ok[NODES];
bool retried[NODES];

#define NAME(n, c) ((n) * STARTS * CLAIMS + begun[n] * CLAIMS + (c) - 1)
#define OWN(n) NAME(n, claim[n])
#define ROW_IS_OURS(n) (row != absent && row_name / (STARTS * CLAIMS) == (n) && (row_name / CLAIMS) % STARTS == begun[n])
#define ROW_NUMBER (row_name % CLAIMS + 1)

/* A claim that was told "not run" is never dispatched later: its number isn't used again. */
#define TELL_NOT_RUN(n) assert(!travelling[OWN(n)] && ran != OWN(n))

inline give_up(n) {
	orphan[n] = true;
	TELL_NOT_RUN(n);
	state[n] = idle; answered[n] = false; retried[n] = false
}

/* The answer that another claim's sender gets; nothing is run. */
inline answer_other(n) {
	assert(!(row == ended && row_stored && runs == 0));
	state[n] = idle; answered[n] = false; retried[n] = false
}

#define RUN(x) runs++; travelling[x] = false; ran = x; assert(runs <= 1)

#define SENDER(n) \
	/* ledger::record::Records::claim: starts a claim. */ \
	:: d_step { state[n] == idle && claim[n] < CLAIMS -> claim[n]++; START(n) } \
	/* Records::insert: the answer arrives, or is lost and the row is read back. */ \
	:: d_step { state[n] == inserted && answered[n] && answer_ok[n] -> state[n] = ticket } \
	:: d_step { state[n] == inserted && answered[n] && !answer_ok[n] -> state[n] = reading } \
	:: d_step { state[n] == inserted && !answered[n] -> LOST(n) } \
	/* Records::insert: the read fails or the platform refuses: "not run". */ \
	:: d_step { state[n] == reading -> give_up(n) } \
	/* Records::insert: own row. */ \
	:: d_step { state[n] == reading && row == claimed && row_name == OWN(n) -> state[n] = ticket } \
	/* Records::insert: no row: written once more. */ \
	:: d_step { state[n] == reading && row == absent && !retried[n] -> retried[n] = true; \
		inserting[OWN(n)] = true; state[n] = inserted; answered[n] = false } \
	/* Records::take_over: an orphan of this start is replaced by a conditional write. */ \
	:: d_step { state[n] == reading && row == claimed && ROW_IS_OURS(n) && row_name != OWN(n) -> \
		row_name = OWN(n); state[n] = ticket } \
	/* records::answer_for_row: another's row. */ \
	:: d_step { state[n] == reading && row != absent && !ROW_IS_OURS(n) -> answer_other(n) } \
	:: d_step { state[n] == reading && row == ended && ROW_IS_OURS(n) -> answer_other(n) } \
	/* Permit::mark_dispatched, then bytes leave. */ \
	:: d_step { state[n] == ticket -> travelling[OWN(n)] = true; state[n] = sent } \
	/* Permit::drop before the dispatch. */ \
	:: d_step { state[n] == ticket -> give_up(n) } \
	/* Records::finish, or Permit::drop after the dispatch: outcome or "unknown". */ \
	:: d_step { state[n] == sent -> state[n] = done; ending[OWN(n)] = UNKNOWN } \
	:: d_step { state[n] == sent && runs > 0 && !travelling[OWN(n)] -> state[n] = done; ending[OWN(n)] = STORED } \
	:: d_step { state[n] == done && ending[OWN(n)] == 0 -> state[n] = idle } \
	TIMEOUT(n) \
	/* Records::sweep: reads the row of an orphan, then deletes that revision. */ \
	:: d_step { orphan[n] && swept[n] == 0 && row == claimed && ROW_IS_OURS(n) && SWEEPABLE(n) -> \
		swept[n] = ROW_NUMBER; deleting[NAME(n, ROW_NUMBER)] = true } \
	:: d_step { orphan[n] && swept[n] != 0 && !deleting[NAME(n, swept[n])] -> swept[n] = 0 } \
	/* A process dies (the first node's, as both are alike); another starts with nothing kept. Writes and bytes that left stay. */ \
	:: d_step { n == 0 && begun[n] < STARTS - 1 -> begun[n]++; claim[n] = 0; state[n] = idle; \
		orphan[n] = false; swept[n] = 0; answered[n] = false; retried[n] = false }

/* An orphan's sweep takes only numbers that were given up: older than the claim in use. */
#define SWEEPABLE(n) (state[n] == idle || ROW_NUMBER < claim[n])

#ifdef INSERT_AFTER_DISPATCH
#define START(n) state[n] = sent; inserting[OWN(n)] = true; travelling[OWN(n)] = true
#else
#define START(n) state[n] = inserted; inserting[OWN(n)] = true; answered[n] = false
#endif

#ifdef TRUST_LOST_ANSWER
#define LOST(n) state[n] = ticket
#else
#define LOST(n) state[n] = reading
#endif

#ifdef NOT_RUN_ON_TIMEOUT
#define TIMEOUT(n) :: d_step { state[n] == sent -> TELL_NOT_RUN(n); state[n] = done; ending[OWN(n)] = UNKNOWN }
#else
#define TIMEOUT(n)
#endif

/* Conditional writes of the platform take effect at any time. */
#define ANSWER(x, ok) \
	if \
	:: state[(x) / (STARTS * CLAIMS)] == inserted && (x) == OWN((x) / (STARTS * CLAIMS)) -> \
		answered[(x) / (STARTS * CLAIMS)] = true; answer_ok[(x) / (STARTS * CLAIMS)] = ok \
	:: else \
	fi

#ifdef BLIND_SWEEP
#define DELETES(x) (row == claimed && row_name / (STARTS * CLAIMS) == (x) / (STARTS * CLAIMS))
#else
#define DELETES(x) (row == claimed && row_name == (x))
#endif

#define WRITE(x) \
	:: d_step { inserting[x] && row == absent -> inserting[x] = false; row = claimed; row_name = x; ANSWER(x, true) } \
	:: d_step { inserting[x] && row != absent -> inserting[x] = false; ANSWER(x, (row_name == x && row == claimed)) } \
	:: d_step { deleting[x] -> deleting[x] = false; \
		if \
		:: DELETES(x) -> row = absent; row_name = 0 \
		:: else \
		fi } \
	:: d_step { ending[x] != 0 -> \
		if \
		:: row == claimed && row_name == x -> row = ended; row_stored = (ending[x] == STORED) \
		:: else \
		fi; \
		ending[x] = 0 } \
	:: d_step { travelling[x] -> RUN(x) } \
	:: d_step { travelling[x] -> travelling[x] = false }

active proctype world() {
end:	do
	SENDER(0)
	SENDER(1)
	WRITE(0) WRITE(1) WRITE(2) WRITE(3) WRITE(4) WRITE(5) WRITE(6) WRITE(7)
	od
}
