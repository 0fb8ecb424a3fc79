package org.zinniatack.core.state;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The last evacuation order of each failure domain. An order that ended an evacuation is
 * kept, so that orders that were given before it are recognized.
 *
 * @param byDomain the orders by failure domain
 */
record EvacuationOrders(SortedMap<String, EvacuationOrder> byDomain) {

	/** Far above the number of failure domains, for operators that invent names. */
	private static final int MAX_COUNT = 256;

	static EvacuationOrders of(Collection<EvacuationOrder> orders) {
		SortedMap<String, EvacuationOrder> byDomain = new TreeMap<>();
		orders.forEach((order) -> byDomain.put(order.failureDomain(), order));
		return new EvacuationOrders(Collections.unmodifiableSortedMap(byDomain));
	}

	/**
	 * Returns these orders with another, or these if it changes nothing.
	 * @param index the log index of the order
	 * @param command the order
	 * @return the orders
	 * @throws ServiceException with REVISION_CONFLICT if another order changed the domain
	 * after this one was given
	 */
	EvacuationOrders with(long index, Command.EvacuateDomain command) throws ServiceException {
		String domain = command.failureDomain();
		if (isEvacuated(domain) == command.evacuated()) {
			return this;
		}
		EvacuationOrder last = this.byDomain.get(domain);
		if (last != null && last.index() > command.givenAtIndex()) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT,
					"an order at index %d changed failure domain %s after this order was given at index %d"
						.formatted(last.index(), domain, command.givenAtIndex()));
		}
		if (last == null && this.byDomain.size() >= MAX_COUNT) {
			throw ServiceException.of(ResultCode.NOT_ACCEPTED,
					"orders for " + MAX_COUNT + " failure domains are stored already");
		}
		SortedMap<String, EvacuationOrder> changed = new TreeMap<>(this.byDomain);
		changed.put(domain, new EvacuationOrder(domain, command.evacuated(), index));
		return new EvacuationOrders(Collections.unmodifiableSortedMap(changed));
	}

	private boolean isEvacuated(String domain) {
		EvacuationOrder last = this.byDomain.get(domain);
		return last != null && last.evacuated();
	}

	Set<String> evacuatedDomains() {
		return this.byDomain.values()
			.stream()
			.filter(EvacuationOrder::evacuated)
			.map(EvacuationOrder::failureDomain)
			.collect(Collectors.toUnmodifiableSet());
	}

	List<EvacuationOrder> images() {
		return List.copyOf(this.byDomain.values());
	}

}
