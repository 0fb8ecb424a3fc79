package org.zinniatack.core.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.membership.MemberChange.ReplaceableMembers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link MemberChange} with members named by their addresses.
 */
class MemberChangeTests {

	private static final String A = "10.0.0.1:7000.aa";

	private static final String B = "10.0.0.2:7000.bb";

	private static final String C = "10.0.0.3:7000.cc";

	private static final String D = "10.0.0.4:7000.dd";

	private static final Membership THREE = Membership.ofVoters(List.of(A, B, C));

	private static ReplaceableMembers unresponsive(String... ids) {
		return new ReplaceableMembers(Set.of(ids), Set.of());
	}

	private static ReplaceableMembers retiring(String id) {
		return new ReplaceableMembers(Set.of(), Set.of(MemberChange.nameOf(id)));
	}

	@Test
	void anAddressIsAName() {
		assertThat(MemberChange.nameOf(A), is("10.0.0.1:7000"));
	}

	@Test
	void aNewcomerStandsByWhileAllVotersAnswer() {
		Membership learning = MemberChange.next(THREE, List.of(D), List.of(), ReplaceableMembers.none(), 3)
			.orElseThrow();
		assertThat(learning.learners(), contains(D));
		assertThat(MemberChange.next(learning, List.of(D), List.of(D), ReplaceableMembers.none(), 3),
				is(Optional.empty()));
	}

	@Test
	void aStandbyVotesBeforeTheSilentVoterLeaves() {
		Membership learning = THREE.withLearner(D);
		Membership four = MemberChange.next(learning, List.of(D), List.of(D), unresponsive(C), 3).orElseThrow();
		assertThat(four.voters(), contains(A, B, C, D));
		Membership swapped = MemberChange.next(four, List.of(D), List.of(), unresponsive(C), 3).orElseThrow();
		assertThat(swapped.voters(), contains(A, B, D));
	}

	@Test
	void aSilentVoterStaysWhileNobodyCanTakeItsPlace() {
		assertThat(MemberChange.next(THREE, List.of(), List.of(), unresponsive(C), 3), is(Optional.empty()));
		assertThat(MemberChange.next(THREE.withLearner(D), List.of(D), List.of(), unresponsive(C), 3),
				is(Optional.empty()));
	}

	@Test
	void aRetiringVoterLeavesOnceItsSuccessorVotes() {
		Membership learning = THREE.withLearner(D);
		Membership four = MemberChange.next(learning, List.of(D), List.of(D), retiring(B), 3).orElseThrow();
		Membership three = MemberChange.next(four, List.of(D), List.of(), retiring(B), 3).orElseThrow();
		assertThat(three.voters(), contains(A, C, D));
	}

	@Test
	void aRetiredMemberThatAsksAgainIsNotTakenBack() {
		Membership without = THREE.without(B);
		assertThat(MemberChange.next(without, List.of(B), List.of(), retiring(B), 3), is(Optional.empty()));
		assertThat(MemberChange.next(without.withLearner(B), List.of(B), List.of(B), retiring(B), 3).orElseThrow(),
				is(without));
	}

	@Test
	void anEmptiedDiskIsReplacedByItsSuccessorAlsoAtTheBound() {
		String rejoined = "10.0.0.3:7000.c2";
		Membership learning = MemberChange.next(THREE, List.of(rejoined), List.of(), ReplaceableMembers.none(), 3)
			.orElseThrow();
		Membership voting = MemberChange
			.next(learning, List.of(rejoined), List.of(rejoined), ReplaceableMembers.none(), 3)
			.orElseThrow();
		Membership replaced = MemberChange.next(voting, List.of(rejoined), List.of(), ReplaceableMembers.none(), 3)
			.orElseThrow();
		assertThat(replaced.voters(), is(new TreeSet<>(List.of(A, B, rejoined))));
	}

	@Test
	void onlySeedsOfAFirstStartFound() {
		List<Formation.PeerState> unformed = List.of(new Formation.PeerState(B, false),
				new Formation.PeerState(C, false));
		assertThat(Formation.decide(A, 2, unformed, true).action(), is(Formation.Action.FORM));
		assertThat(Formation.decide(D, 2, unformed, false).action(), is(Formation.Action.WAIT));
		List<Formation.PeerState> formed = List.of(new Formation.PeerState(B, true));
		assertThat(Formation.decide(D, 2, formed, false).action(), is(Formation.Action.JOIN));
	}

}
