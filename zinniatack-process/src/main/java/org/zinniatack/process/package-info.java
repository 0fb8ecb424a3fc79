/**
 * Infrastructure shared by all processes of the system: validated settings, the
 * operators' HTTP endpoints, error responses and connections that reopen when lost.
 */
@NullMarked
package org.zinniatack.process;

import org.jspecify.annotations.NullMarked;
