/**
 * Selection of targets, the statistics behind it, and the protocol that targets speak.
 */
@NullMarked
package org.zinniatack.gateway.target;

import org.jspecify.annotations.NullMarked;
