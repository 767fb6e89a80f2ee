/** The platform's object API and instance list over HTTP, and the budget of calls of one process. */
package io.endiveshed.net.platform;
