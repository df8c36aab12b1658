/* Configuration without a coordination service: spread, freshness, outage mode, members.
 *
 * One head on the platform moves by one revision at a time. A node may start work when its proof
 * of the head is younger than the horizon, or when it has heard within the horizon from a
 * majority of the members of its own revision. A revision is accepted once a majority of the
 * members before it have acknowledged it.
 *
 * Properties
 *   in force   Once a revision has been accepted for the horizon, no node starts work without it.
 *   no revert  Follows: a node that may start work never has less than what was accepted.
 *
 * What is abstracted: partitions, lost answers and a platform that only some can reach need no
 * state, because any message and any read may simply not happen. A pause is a node that does
 * nothing while ages grow. Ages are bounded and count ticks from when a message was sent:
 * HORIZON stands for "too old". A message that is older than the horizon when it arrives proves
 * nothing, which is as if it hadn't arrived.
 *
 * Seeded mistakes: -DNO_ACK_MAJORITY -DRESTART_COUNTS -DLAPSE_SHRINKS
 */

#define NODES 3
#define HORIZON 1
#define REVISIONS 2
#define PLAIN 0
#define REMOVE 1
#define ADMIT 2

byte head;                      /* newest revision on the platform */
byte kind[REVISIONS + 1];       /* what a revision changes */
byte subject[REVISIONS + 1];    /* the member that it removes or admits */
bool accepted[REVISIONS + 1];
byte accepted_age[REVISIONS + 1];

byte applied[NODES];            /* revision of each node */
byte proof_age[NODES];          /* of the newest proof that `applied` was the head */
byte touch_age[NODES * NODES];  /* since the last word from each peer was sent */
bool restarted[NODES];          /* the VM is replaced: another incarnation runs, if any */

/* Scratch, always reset. */
byte i, j, r, rev, count, size;
bool ok, member;

/* Whether the incarnation of node n that runs now is a member at revision v. */
inline is_member(n, v) {
	member = !restarted[n];
	r = 1;
	do
	:: r <= v ->
		if
		:: kind[r] == REMOVE && subject[r] == n -> member = false
		:: kind[r] == ADMIT && subject[r] == n -> member = restarted[n]
		:: else
		fi;
		r++
	:: else -> break
	od;
	r = 0
}

/* Number of members at revision v, whoever runs. */
inline members_at(v) {
	size = NODES;
	r = 1;
	do
	:: r <= v ->
		if
		:: kind[r] == REMOVE -> size--
		:: else
		fi;
		r++
	:: else -> break
	od;
	r = 0
}

/* view::View::may_start: fresh proof, or a majority of the members heard within the horizon. */
inline may_start(n) {
	ok = (proof_age[n] < HORIZON);
	if
	:: ok
	:: else ->
		members_at(applied[n]);
		count = 0;
		j = 0;
		do
		:: j < NODES ->
			is_member(j, applied[n]);
#ifdef RESTART_COUNTS
			member = true;
#endif
			if
			:: member && (j == n || touch_age[n * NODES + j] < HORIZON) -> count++
			:: else
			fi;
			j++
		:: else -> break
		od;
		j = 0; member = false;
		ok = (2 * count > size);
		count = 0; size = 0
	fi
}

/* The property, for a node whose ages or revision have changed. */
inline check(n) {
	may_start(n);
	rev = 1;
	do
	:: rev <= REVISIONS ->
		assert(!(ok && accepted[rev] && accepted_age[rev] >= HORIZON && applied[n] < rev));
		rev++
	:: else -> break
	od;
	rev = 0; ok = false
}

inline check_all() {
	i = 0;
	do
	:: i < NODES -> check(i); i++
	:: else -> break
	od;
	i = 0
}

/* sync::propose: moves the head by a conditional write. A change of members waits until the
 * revision before it is accepted, and the next one waits for it. */
inline propose(k, n) {
	ok = (head < REVISIONS);
	if
	:: ok && head > 0 && (k != PLAIN || kind[head] != PLAIN) -> ok = accepted[head]
	:: else
	fi;
	if
	:: ok && k == ADMIT -> ok = restarted[n]
	:: ok && k == REMOVE -> is_member(n, head); ok = (member || restarted[n]); member = false
	:: else
	fi;
	if
	:: ok && k != PLAIN && head == 1 && kind[1] == REMOVE && subject[1] == n -> ok = false
	:: else
	fi;
	if
	:: ok -> head++; kind[head] = k;
		if
		:: k != PLAIN -> subject[head] = n
		:: else
		fi
	:: else
	fi;
	ok = false
}

/* sync::Replica: reads the head. The proof's age counts from when the read was sent. */
inline read_head(n) {
	applied[n] = head;
	proof_age[n] = 0
}

/* view::View: a heartbeat brings the peer's revision, its proof, and an age that counts from when
 * it was sent. */
inline hear(n, m) {
	if
	:: applied[m] > applied[n] -> applied[n] = applied[m]; proof_age[n] = HORIZON
	:: else
	fi;
	if
	:: applied[m] == applied[n] && proof_age[m] < proof_age[n] -> proof_age[n] = proof_age[m]
	:: else
	fi;
	touch_age[n * NODES + m] = 0
}

/* sync::Accepted: a majority of the members before the revision have acknowledged it. A first
 * incarnation that is replaced counts as having acknowledged, by the list of VMs; any other never
 * has less than it once acknowledged, so that no set of acknowledgements has to be kept. */
inline accept(v) {
	count = 0; i = 0;
	do
	:: i < NODES ->
		is_member(i, v - 1);
		if
		:: member && applied[i] >= v -> count++
		:: !member && restarted[i] -> count++
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0; member = false;
#ifdef LAPSE_SHRINKS
	members_at(v);
#else
	members_at(v - 1);
#endif
#ifdef NO_ACK_MAJORITY
	ok = true;
#else
	ok = (2 * count > size);
#endif
	if
	:: ok && v > 1 && kind[v - 1] != PLAIN -> ok = accepted[v - 1]
	:: else
	fi;
	accepted[v] = ok;
	ok = false; count = 0; size = 0
}

/* A process ends and another starts at its address with nothing kept. */
inline restart(n) {
	restarted[n] = true;
	applied[n] = 0;
	proof_age[n] = HORIZON;
	j = 0;
	do
	:: j < NODES -> touch_age[n * NODES + j] = HORIZON; j++
	:: else -> break
	od;
	j = 0
}

inline older(a) {
	if
	:: a < HORIZON -> a++
	:: else
	fi
}

inline tick() {
	i = 0;
	do
	:: i < NODES ->
		older(proof_age[i]);
		j = 0;
		do
		:: j < NODES ->
			if
			:: i != j -> older(touch_age[i * NODES + j])
			:: else
			fi;
			j++
		:: else -> break
		od;
		i++
	:: else -> break
	od;
	i = 0; j = 0; r = 1;
	do
	:: r <= REVISIONS ->
		if
		:: accepted[r] -> older(accepted_age[r])
		:: else
		fi;
		r++
	:: else -> break
	od;
	r = 0
}

#define PROPOSE(k, n)	:: d_step { head < REVISIONS -> propose(k, n) }
#define READ(n)		:: d_step { (proof_age[n] > 0 || applied[n] < head) -> read_head(n); check(n) }
#define HEAR(n, m)	:: d_step { (touch_age[n * NODES + m] > 0 || applied[n] < applied[m] || proof_age[m] < proof_age[n]) -> hear(n, m); check(n) }
#define ACCEPT(v)	:: d_step { (v <= head && !accepted[v]) -> accept(v); check_all() }
#define RESTART(n)	:: d_step { !restarted[n] -> restart(n) }
#define NODE(n)		READ(n) RESTART(n)

/* Nodes are alike, so that the first change of members may concern the last node. */
#define FIRST		(head == 0 || kind[1] == PLAIN)

active proctype world() {
	do
	:: d_step { tick(); check_all() }
	PROPOSE(PLAIN, 0)
	PROPOSE(REMOVE, 2)
	PROPOSE(ADMIT, 2)
	:: d_step { head < REVISIONS && !FIRST -> propose(REMOVE, 1) }
	:: d_step { head < REVISIONS && !FIRST -> propose(ADMIT, 1) }
	ACCEPT(1)
	ACCEPT(2)
	NODE(0)
	NODE(1)
	NODE(2)
	HEAR(0, 1) HEAR(0, 2) HEAR(1, 0) HEAR(1, 2) HEAR(2, 0) HEAR(2, 1)
	od
}
