package org.zinniatack.core.consensus;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The voters and learners of a replicated log. Voters count towards the quorum; learners
 * only receive entries.
 *
 * @param voters the ids of the voters
 * @param learners the ids of the learners
 */
public record Membership(SortedSet<String> voters, SortedSet<String> learners) {

	private static final Membership EMPTY = new Membership(new TreeSet<>(), new TreeSet<>());

	/**
	 * Copies the arguments.
	 */
	public Membership {
		voters = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(voters));
		learners = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(learners));
	}

	/**
	 * Returns a membership without members.
	 * @return the empty membership
	 */
	public static Membership empty() {
		return EMPTY;
	}

	/**
	 * Returns a membership of voters only.
	 * @param voters the ids of the voters
	 * @return the membership
	 */
	public static Membership ofVoters(Collection<String> voters) {
		return new Membership(new TreeSet<>(voters), new TreeSet<>());
	}

	/**
	 * Returns all members.
	 * @return the ids of voters and learners
	 */
	public SortedSet<String> all() {
		SortedSet<String> all = new TreeSet<>(this.voters);
		all.addAll(this.learners);
		return all;
	}

	/**
	 * Returns whether the two memberships differ by at most one voter.
	 * @param other the other membership
	 * @return true if they do, so that every majority of one overlaps every majority of
	 * the other
	 */
	public boolean differsByAtMostOneVoter(Membership other) {
		SortedSet<String> added = new TreeSet<>(other.voters);
		added.removeAll(this.voters);
		SortedSet<String> removed = new TreeSet<>(this.voters);
		removed.removeAll(other.voters);
		return added.size() + removed.size() <= 1;
	}

	/**
	 * Returns the number of voters that form a quorum.
	 * @return the size of a majority
	 */
	public int quorum() {
		return this.voters.size() / 2 + 1;
	}

	/**
	 * Returns this membership with a learner added.
	 * @param id the id of the learner
	 * @return the new membership
	 */
	public Membership withLearner(String id) {
		SortedSet<String> changed = new TreeSet<>(this.learners);
		changed.add(id);
		return new Membership(this.voters, changed);
	}

	/**
	 * Returns this membership with a learner promoted to voter.
	 * @param id the id of the learner
	 * @return the new membership
	 */
	public Membership withVoter(String id) {
		SortedSet<String> changed = new TreeSet<>(this.voters);
		changed.add(id);
		SortedSet<String> rest = new TreeSet<>(this.learners);
		rest.remove(id);
		return new Membership(changed, rest);
	}

	/**
	 * Returns this membership without a member.
	 * @param id the id of the member
	 * @return the new membership
	 */
	public Membership without(String id) {
		SortedSet<String> remainingVoters = new TreeSet<>(this.voters);
		remainingVoters.remove(id);
		SortedSet<String> remainingLearners = new TreeSet<>(this.learners);
		remainingLearners.remove(id);
		return new Membership(remainingVoters, remainingLearners);
	}

}
