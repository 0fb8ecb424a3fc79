/**
 * What every process of the system shares: checked settings, the operators' endpoints,
 * error answers and connections that are opened again when they are lost.
 */
@NullMarked
package org.zinniatack.process;

import org.jspecify.annotations.NullMarked;
