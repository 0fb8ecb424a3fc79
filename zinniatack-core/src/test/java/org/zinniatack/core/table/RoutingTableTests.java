package org.zinniatack.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Tests of {@link RoutingTable}, {@link RouteIndex} and {@link CurrentRoutingTable}.
 */
class RoutingTableTests {

	private static final CallerLimits LIMITS = new CallerLimits(1024, 1024, 1_000, 1_000);

	private static Route route(String name, String prefix, long timeoutMs, PoolShare... shares) {
		return new Route(name, "h.example", prefix, RouteKind.IDEMPOTENT, false, false, timeoutMs, 100, 0, 2,
				List.of(shares), 0, 0, false);
	}

	private static RoutingTable table(long number, List<Route> routes, Customer... customers) {
		return new RoutingTable(number, routes,
				Map.of("p", new Pool("p", 10, 0, List.of()), "q", new Pool("q", 10, 0, List.of())), List.of(customers),
				LIMITS);
	}

	private static void assertInvalid(RoutingTable table, String reason) {
		try {
			table.requireValid();
		}
		catch (ServiceException ex) {
			assertThat(ex.code(), is(ResultCode.RECORD_INVALID));
			assertThat(ex.getMessage(), containsString(reason));
			return;
		}
		throw new AssertionError("an invalid table was accepted, expected: " + reason);
	}

	@Test
	void aStreamMayBeRepeatedOnlyIfItMayBeResumed() {
		for (RouteKind kind : RouteKind.values()) {
			for (boolean resumable : new boolean[] { false, true }) {
				Route route = new Route("r", "h.example", "/a/", kind, resumable, false, 10, 100, 0, 2,
						List.of(new PoolShare("p", 1)), 0, 0, false);
				boolean expected = kind.isRepeatable() || (kind == RouteKind.STREAM && resumable);
				assertThat(kind + " " + resumable, route.isRepeatable(), is(expected));
			}
		}
	}

	@Test
	void aTableThatCannotBePutInForceIsRefusedWithTheReason() {
		PoolShare share = new PoolShare("p", 1);
		assertInvalid(table(1, List.of(route("r", "/a/", 10, new PoolShare("x", 1)))), "unknown pool x");
		assertInvalid(table(1, List.of(route("r", "/a/", 10, new PoolShare("p", 0)))), "add up to 0");
		assertInvalid(table(1, List.of(route("r", "/a/", 0, share))), "no positive timeout");
		assertInvalid(table(1, List.of(route("r", "/a", 10, share))), "slash");
		assertInvalid(table(1, List.of(route("r", "/a/", 10, share), route("s", "/a/", 10, share))), "share host");
		String digest = Sha256Digest.of("k").hex();
		assertInvalid(table(1, List.of(), new Customer("c", List.of(digest), 0), new Customer("d", List.of(digest), 0)),
				"listed twice");
	}

	@Test
	void aPrefixSelectsNothingByAPathThatOnlyNamesItInItsQuery() throws ServiceException {
		PoolShare share = new PoolShare("p", 1);
		RouteIndex index = new RouteIndex(
				table(1, List.of(route("root", "/", 10, share), route("deep", "/a/b/", 10, share))).requireValid());
		assertThat(index.routeOf("h.example", "/a?x=/b/").orElseThrow().name(), is("root"));
		assertThat(index.routeOf("h.example", "/a/b/c/d/e").orElseThrow().name(), is("deep"));
		assertThat(index.routeOf("h.example", "no-slash").isPresent(), is(false));
	}

	/**
	 * Guards against a lookup whose cost grows with the number of routes of a host.
	 * Waiting job items, often hundreds, are each looked up in every round. With 2,000
	 * routes on one host the index must stay above 200,000 lookups per second.
	 */
	@Test
	void aTableOfThousandsOfRoutesIsSearchedAsFastAsASmallOne() throws ServiceException {
		PoolShare share = new PoolShare("p", 1);
		List<Route> routes = new ArrayList<>();
		for (int number = 0; number < 2_000; number++) {
			routes.add(route("r" + number, "/added/%04d/".formatted(number), 10, share));
		}
		RouteIndex index = new RouteIndex(table(1, routes).requireValid());
		List<String> paths = routes.stream().map((route) -> route.pathPrefix() + "item").toList();
		long bestNs = Long.MAX_VALUE;
		int found = 0;
		for (int round = 0; round < 10; round++) {
			long startedNs = System.nanoTime();
			for (int lookup = 0; lookup < 10_000; lookup++) {
				found += index.routeOf("h.example", paths.get(lookup * 7 % paths.size())).isPresent() ? 1 : 0;
			}
			bestNs = Math.min(bestNs, System.nanoTime() - startedNs);
		}
		assertThat(found, is(100_000));
		assertThat(bestNs, lessThan(TimeUnit.SECONDS.toNanos(10_000) / 200_000));
	}

	@Test
	void theLongestPrefixThatBeginsThePathSelectsTheRoute() throws ServiceException {
		PoolShare share = new PoolShare("p", 1);
		RouteIndex index = new RouteIndex(
				table(1, List.of(route("short", "/a/", 10, share), route("long", "/a/b/", 10, share))).requireValid());
		assertThat(index.routeOf("h.example", "/a/b/c?x=1").orElseThrow().name(), is("long"));
		assertThat(index.routeOf("h.example", "/a/bc").orElseThrow().name(), is("short"));
		assertThat(index.routeOf("h.example", "/b/").isPresent(), is(false));
		assertThat(index.routeOf("other.example", "/a/").isPresent(), is(false));
	}

	private static String ownerOf(RouteIndex index, @Nullable String key, boolean open) {
		try {
			return index.ownerOf(key, open).map(Customer::name).orElse("nobody");
		}
		catch (ServiceException ex) {
			return ex.code().name();
		}
	}

	// Guards against a call that has one owner on an open route and another elsewhere.
	@Test
	void aKeySelectsItsCustomerOnlyAndOnOpenRoutesToo() {
		RouteIndex index = new RouteIndex(
				table(1, List.of(), new Customer("c", List.of(Sha256Digest.of("key-c").hex()), 0),
						new Customer("d", List.of(Sha256Digest.of("key-d").hex()), 0)));
		for (boolean open : new boolean[] { false, true }) {
			assertThat(ownerOf(index, "key-c", open), is("c"));
			assertThat(ownerOf(index, "key-x", open), is("KEY_UNKNOWN"));
			assertThat(ownerOf(index, "", open), is(open ? "nobody" : "KEY_MISSING"));
			assertThat(ownerOf(index, null, open), is(open ? "nobody" : "KEY_MISSING"));
			assertThat(ownerOf(new RouteIndex(table(1, List.of())), "key-c", open), is("nobody"));
		}
	}

	@Test
	void aSplitRouteSendsEachPoolItsShare() {
		Route split = route("r", "/a/", 10, new PoolShare("p", 90), new PoolShare("q", 10), new PoolShare("z", 0));
		double countAtQ = 0;
		int points = 10_000;
		for (int i = 0; i < points; i++) {
			countAtQ += split.selectPool(i / (double) points).equals("q") ? 1 : 0;
		}
		assertThat(countAtQ / points, closeTo(0.1, 0.001));
	}

	@Test
	void onlyAHigherNumberReplacesTheTable() {
		CurrentRoutingTable current = new CurrentRoutingTable();
		current.replace(table(5, List.of()), new byte[] { 5 });
		current.replace(table(4, List.of()), new byte[] { 4 });
		current.replace(table(5, List.of(route("r", "/a/", 1, new PoolShare("p", 1)))), new byte[] { 55 });
		assertThat(current.image(), notNullValue());
		assertThat(current.image().document(), is(new byte[] { 5 }));
		current.replace(table(9, List.of()), new byte[] { 9 });
		assertThat(current.image().table().number(), is(9L));
	}

}
