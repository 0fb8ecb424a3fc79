package org.zinniatack.cli;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Makes a key on the operator's machine, so that the system sees only its digest.
 */
@CommandLine.Command(name = "key", mixinStandardHelpOptions = true,
		description = "Makes a key and its digest; only the digest goes into a record.")
final class KeyCommand implements Callable<Integer> {

	private static final int KEY_BYTES = 24;

	@CommandLine.Option(names = "--digest-of", description = "print the digest of this key instead of a new one")
	private String existing;

	@Override
	public Integer call() {
		byte[] bytes = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(bytes);
		String key = (this.existing != null) ? this.existing : "zk-" + HexFormat.of().formatHex(bytes);
		System.out.println("key=" + key + " digest=" + Sha256Digest.of(key).hex());
		return 0;
	}

}
