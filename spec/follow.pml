/*
 * Propagation of configuration versions to the entries (docs/design.md, section 13).
 *
 * The version in the head increases. Two entries learn of it through a watch, which may lag, and through pushes from
 * each other, which may be delayed or lost. Each entry may restart without state and adopt its peer's version, as it
 * does when the store does not answer.
 */
#define ENTRIES 2
#define MAXVERSION 3
#define RESTARTS 2

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool P9_never_reverts, P9_version_order;

byte version;
byte in_force[ENTRIES];
byte pushed_version[ENTRIES];  /* the version in a push that is in flight to the entry; 0 for none */
byte restarts;

inline apply_version(v) {
  d_step {
    if
    :: v > in_force[me] ->
       in_force[me] = v;
       pushed_version[1 - me] = v
#ifdef APPLY_ANY_VERSION
    :: v < in_force[me] -> in_force[me] = v
#endif
    :: else -> skip
    fi;
    assert(in_force[me] >= highest_in_force || P9_never_reverts);
    assert(in_force[me] <= version || P9_version_order);
    highest_in_force = in_force[me]
  }
}

proctype follower(byte me) {
  byte highest_in_force, read_version;
end:
  do
#ifndef PUSH_ONLY
  :: atomic { in_force[me] != version -> read_version = version }
     apply_version(read_version);        /* the watch returns the version that was newest when it was read */
     read_version = 0
#else
  :: atomic { me == 0 && in_force[me] != version -> read_version = version }
     apply_version(read_version);
     read_version = 0
#endif
  :: atomic { pushed_version[me] != 0 -> read_version = pushed_version[me]; pushed_version[me] = 0 }
     apply_version(read_version);
     read_version = 0
  :: d_step { pushed_version[me] != 0 -> pushed_version[me] = 0 }                 /* the push is lost */
  :: d_step { restarts < RESTARTS -> restarts++; in_force[me] = 0; highest_in_force = 0 }
#ifdef PUSH_ONLY
  :: atomic { me == 0 && in_force[1 - me] > in_force[me] -> read_version = in_force[1 - me] }
     apply_version(read_version);
     read_version = 0
#else
  /* The version is fetched from the peer, as it is when the store does not answer. */
  :: atomic { in_force[1 - me] > in_force[me] -> read_version = in_force[1 - me] }
     apply_version(read_version);
     read_version = 0
#endif
  od
}

active proctype confirmations() {
end:
  do
  :: version < MAXVERSION -> version++
#ifdef LIVE
  :: else -> skip      /* keeps every execution infinite */
#endif
  od
}

init { atomic { run follower(0); run follower(1) } }

#ifdef LIVE
/* Once no more changes are accepted, the newest version eventually is in force on every entry. */
ltl P9_in_force_everywhere { []<> (in_force[0] == version && in_force[1] == version) }
#endif
