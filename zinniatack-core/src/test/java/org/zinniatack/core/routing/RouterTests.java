package org.zinniatack.core.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests prefix affinity, load bounds and hashing of routers.
 */
class RouterTests {

	private final List<FakeTarget> targets = new ArrayList<>();

	private final Router<FakeTarget> router = Router.prefixAffinity("a", new SplittableRandom(1));

	private void makeTargets(int count) {
		for (int number = 0; number < count; number++) {
			this.targets.add(new FakeTarget("t" + number, (number % 2 == 0) ? "a" : "b"));
		}
		this.router.updateTargets(this.targets);
	}

	@Test
	void equalPrefixesGoToOneTargetWhileItHasRoom() {
		makeTargets(12);
		Set<String> chosen = new HashSet<>();
		for (int call = 0; call < 50; call++) {
			chosen.add(this.router.choose(Hashing.of("prefix")).orElseThrow().targetId());
		}
		assertThat(chosen.size(), is(1));
	}

	@Test
	void aPrefixLeavesATargetThatIsMuchFullerThanOthers() {
		makeTargets(12);
		FakeTarget preferred = this.router.choose(Hashing.of("prefix")).orElseThrow();
		preferred.load = 0.9;
		assertThat(this.router.choose(Hashing.of("prefix")).orElseThrow() == preferred, is(false));
	}

	@Test
	void onlyTheShareOfALostTargetMoves() {
		makeTargets(12);
		List<String> before = owners();
		this.targets.remove(11);
		this.router.updateTargets(this.targets);
		List<String> after = owners();
		int moved = 0;
		for (int prefix = 0; prefix < before.size(); prefix++) {
			moved += (!before.get(prefix).equals(after.get(prefix)) && !before.get(prefix).equals("t11")) ? 1 : 0;
		}
		assertThat(moved, is(0));
	}

	private List<String> owners() {
		List<String> owners = new ArrayList<>();
		for (int prefix = 0; prefix < 200; prefix++) {
			owners.add(this.router.choose(Hashing.of("p" + prefix)).orElseThrow().targetId());
		}
		return owners;
	}

	@Test
	void theLastTargetWithRoomIsFound() {
		makeTargets(300);
		this.targets.forEach((target) -> target.available = false);
		this.targets.get(217).available = true;
		assertThat(this.router.choose(0).orElseThrow().targetId(), is("t217"));
		assertThat(this.router.choose(Hashing.of("p")).orElseThrow().targetId(), is("t217"));
		this.targets.get(217).available = false;
		assertThat(this.router.choose(0).isPresent(), is(false));
	}

	@Test
	void atEqualLoadTheHomeFailureDomainIsPreferred() {
		makeTargets(12);
		int inHomeDomain = 0;
		for (int call = 0; call < 400; call++) {
			inHomeDomain += this.router.choose(0).orElseThrow().failureDomain().equals("a") ? 1 : 0;
		}
		assertThat(inHomeDomain, greaterThan(300));
	}

	@Test
	void rendezvousHashingSpreadsTargetsEvenlyOverEntries() {
		List<String> entries = new ArrayList<>();
		for (int number = 0; number < 20; number++) {
			entries.add("entry-" + number);
		}
		int[] counts = new int[20];
		for (int target = 0; target < 2_000; target++) {
			for (String entry : Hashing.rendezvous("target-" + target, entries, 4)) {
				counts[entries.indexOf(entry)]++;
			}
		}
		for (int count : counts) {
			assertThat(count, greaterThan(280));
			assertThat(count, lessThan(520));
		}
	}

	private static final class FakeTarget implements Candidate {

		private final String id;

		private final String failureDomain;

		private double load;

		private boolean available = true;

		FakeTarget(String id, String failureDomain) {
			this.id = id;
			this.failureDomain = failureDomain;
		}

		@Override
		public String failureDomain() {
			return this.failureDomain;
		}

		@Override
		public boolean isAvailable() {
			return this.available;
		}

		@Override
		public double load() {
			return this.load;
		}

		@Override
		public String targetId() {
			return this.id;
		}

	}

}
