#!/usr/bin/perl
# Prints "N passed, N failed" from Meson's test log; exits 1 on a failure that KNOWN-RED.txt does
# not list. An entry names a test and may name cases of it:
#   test: NAME
#   case: FUNCTION        every row of this Check test function
#   case: FUNCTION row N  one row of a loop test
# Without a case it covers the whole test. With cases it covers a failure only if Check's output
# is complete and shows that nothing else failed.
# Usage: summarize_tests.pl TESTLOG.json KNOWN-RED.txt
use strict;
use warnings;
use JSON::PP;

my ($log, $list) = @ARGV;
fail('usage: summarize_tests.pl TESTLOG.json KNOWN-RED.txt') if @ARGV != 2;

sub fail {
    print STDERR "@_\n";
    exit 2;
}

sub read_known {
    my ($path) = @_;
    my (%known, $test);
    open(my $in, '<', $path) or fail("$path: $!");
    while (my $line = <$in>) {
        chomp $line;
        if ($line =~ /^test: (.+)$/) {
            $test = $1;
            push @{ $known{$test} }, [];
        } elsif ($line =~ /^case:/) {
            fail("$path:$.: no test") if !defined $test;
            fail("$path:$.: expected \"case: FUNCTION\" or \"case: FUNCTION row N\"")
              if $line !~ /^case: (\w+(?: row \d+)?)$/;
            push @{ $known{$test}[-1] }, $1;
        } elsif ($line eq '') {
            undef $test;
        }
    }
    close($in);
    return \%known;
}

# Returns the failed cases, or none if Check's output doesn't account for all of them.
sub read_failed_cases {
    my ($output) = @_;
    my ($sum, @cases) = (0);
    for my $line (split /\n/, $output) {
        if ($line =~ /^\d+%: Checks: \d+, Failures: (\d+), Errors: (\d+)$/) {
            $sum += $1 + $2;
        } elsif ($line =~ /^\S+:\d+:[FE]:[^:]*:(\w+):(\d+): /) {
            push @cases, [$1, "$1 row $2"];
        }
    }
    return @cases == $sum ? @cases : ();
}

# Returns what the list covers of this failure, undef if not all of it.
sub find_known {
    my ($entries, $record) = @_;
    return undef if !defined $entries;
    return $record->{name} if grep { @$_ == 0 } @$entries;
    # Check's exit status says only whether a case failed.
    return undef if $record->{result} ne 'FAIL' || ($record->{returncode} // -1) != 1;
    my %covered = map { map { $_ => 1 } @$_ } @$entries;
    my @failed = read_failed_cases($record->{stdout} // '');
    return undef if !@failed || grep { !$covered{ $_->[0] } && !$covered{ $_->[1] } } @failed;
    return join(', ', "$record->{name}: $failed[0][1]", map { $_->[1] } @failed[1 .. $#failed]);
}

my $known = -e $list ? read_known($list) : {};
my ($passed, $failed, $unexpected) = (0, 0, 0);
open(my $in, '<', $log) or fail("$log: $!");
while (my $line = <$in>) {
    my $record = JSON::PP->new->decode($line);
    $record->{name} =~ s/^.* \/ //;
    if ($record->{result} eq 'OK') {
        $passed++;
        next;
    }
    $failed++;
    my $covered = find_known($known->{ $record->{name} }, $record);
    if (defined $covered) {
        print "known red: $covered ($record->{result})\n";
    } else {
        print "failed: $record->{name} ($record->{result})\n";
        $unexpected++;
    }
}
close($in);
if ($passed == 0) {
    print "no test passed\n";
    exit 1;
}
print "$passed passed, $failed failed\n";
exit($unexpected == 0 ? 0 : 1);
