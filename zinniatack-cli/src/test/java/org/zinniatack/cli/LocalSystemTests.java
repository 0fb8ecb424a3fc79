package org.zinniatack.cli;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LocalSystem} itself.
 */
class LocalSystemTests {

	/**
	 * Guards against a test whose process cannot listen, since an outgoing connection of
	 * any process has taken its port first.
	 */
	@Test
	@EnabledOnOs(OS.LINUX)
	void noOutgoingConnectionCanTakeTheAddressOfAProcess() throws Exception {
		// Files.readString reads one byte first, after which this file ends.
		String[] range = Files.readAllLines(Path.of("/proc/sys/net/ipv4/ip_local_port_range")).get(0).split("\\s+");
		int first = Integer.parseInt(range[0]);
		int last = Integer.parseInt(range[1]);
		for (int count = 0; count < 100; count++) {
			String address = LocalSystem.freeAddress();
			int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
			assertThat(address, port >= first && port <= last, is(false));
		}
	}

}
