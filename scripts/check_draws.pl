#!/usr/bin/env perl
# Fails if one statement draws two random numbers from one generator: C doesn't say which call
# comes first, and x86-64 and aarch64 differ, so that a seed would not mean the same everywhere.
# Conditions are left out: the operators && and || do have an order.
# Usage: check_draws.pl FILE...
use strict;
use warnings;

my $draw = qr/\b(?:draw\w*|next_random|random_between|random_fraction|g_rand_\w+)\s*\(/;
my $parens;
$parens = qr/\((?:[^()]++|(??{$parens}))*\)/;
my $found = 0;
for my $file (@ARGV) {
  open my $in, '<', $file or die "$file: $!\n";
  my $text = do { local $/; <$in> };
  $text =~ s{/\*.*?\*/}{ $& =~ s/[^\n]//gr }gse;
  $text =~ s/\b(?:if|while|switch)\s*$parens/ $& =~ s{[^\n]}{}gr . ';' /ge;
  # Initializers have no order either: only the braces of blocks, behind ")" or a line's start, end a statement.
  while ($text =~ /([^;{}]*(?:[=,(]\s*(\{(?:[^{}]++|(?2))*\})[^;{}]*)*)([;{}]|\z)/g) {
    my ($statement, $start) = ($1, $-[1]);
    my $count = () = $statement =~ /$draw/g;
    next if $count < 2 || $statement =~ /\bg_rand_new|&&|\|\|/;
    my $line = 1 + (substr($text, 0, $start) =~ tr/\n//) + ($statement =~ /^(\s*)/ ? $1 =~ tr/\n// : 0);
    print "$file:$line: draws $count random numbers in one statement, in no defined order\n";
    $found = 1;
  }
}
exit $found;
